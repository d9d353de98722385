#include "router/settings_validation.h"

#include <gtest/gtest.h>

#include <stdexcept>

#include "router/router_harness.h"

namespace gorsenotch::test {
namespace {

std::string error_of(const Settings& settings) {
    try {
        router::validate_settings(settings);
    } catch (const std::invalid_argument& error) {
        return error.what();
    }
    return "";
}

TEST(SettingsValidation, AcceptsValidSettings) { EXPECT_EQ(error_of(test_settings()), ""); }

TEST(SettingsValidation, NamesTheFirstInvalidSetting) {
    Settings settings = test_settings();
    settings.max_attempts = 0;
    EXPECT_EQ(error_of(settings), "gorsenotch settings: max_attempts: expected at least 1");
    settings.classes[1].deadline = 0;
    EXPECT_EQ(error_of(settings), "gorsenotch settings: classes: deadline must be above 0");
    settings.classes.clear();
    EXPECT_EQ(error_of(settings), "gorsenotch settings: classes: expected at least one, got none");
}

TEST(SettingsValidation, RequiresAPrefillKindUnlessDecodeEndpointsPrefillLocally) {
    Settings settings = test_settings();
    settings.kinds = {{Role::decode, 100000}};
    EXPECT_NE(error_of(settings), "");
    settings.local_prefill = true;
    EXPECT_EQ(error_of(settings), "");
    settings.kinds = {{Role::prefill, 100000}};
    EXPECT_NE(error_of(settings), "");
}

}  // namespace
}  // namespace gorsenotch::test
