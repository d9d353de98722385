// The constructor of the Router rejects invalid settings with an error that names the setting.
#include <gtest/gtest.h>

#include <stdexcept>
#include <string>

#include "router/router_harness.h"

namespace gorsenotch::test {
namespace {

TEST(RouterSettingsTest, InvalidSettingsAreRejectedByName) {
    const auto error_of = [](const Settings& settings) -> std::string {
        try {
            Router router(settings, 1);
        } catch (const std::invalid_argument& error) {
            return error.what();
        }
        return "";
    };
    Settings settings = test_settings();
    settings.classes.clear();
    EXPECT_NE(error_of(settings).find("classes"), std::string::npos);
    settings = test_settings();
    settings.kinds = {{Role::prefill, 1000}};
    EXPECT_NE(error_of(settings).find("kinds"), std::string::npos);
    settings = test_settings();
    settings.classes[1].latency_objective = 0;
    EXPECT_NE(error_of(settings).find("latency_objective"), std::string::npos);
    EXPECT_EQ(error_of(test_settings()), "");
}

}  // namespace
}  // namespace gorsenotch::test
