// Reloads of the configuration file: a valid file applies at once; an invalid one is retried while the
// current configuration stays.
#include "platform/config_reloader.h"

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "net/timer.h"
#include "platform/platform_world.h"

namespace gorsenotch::test {
namespace {

struct ConfigReloaderTest : ::testing::Test {
    net::EventLoop loop;
    const platform::Config current = parse_config(kConfig, "", "");
    const std::string file = ::testing::TempDir() + "config_reloader_" + std::to_string(getpid()) + ".json";
    std::vector<std::string> events;
    std::vector<std::string> discoveries;
    ConfigReloader reloader{loop, file, current, [this](const char*, const char* event, const std::string&) {
                                events.emplace_back(event);
                            }};

    void SetUp() override {
        reloader.on_reloaded = [this](const platform::Config& next) {
            discoveries.push_back(next.discovery);
        };
    }
    void TearDown() override { std::remove(file.c_str()); }
    void write(const std::string& text) const { std::ofstream(file) << text; }
    void run(Millis duration) {
        net::Timer end(loop, [this] { loop.stop(); });
        end.fire_after(duration);
        loop.run();
    }
};

TEST_F(ConfigReloaderTest, AValidFileAppliesAtOnce) {
    write(replace_once(kConfig, "127.0.0.1:8500", "127.0.0.1:8501"));
    reloader.reload();
    EXPECT_EQ(discoveries, std::vector<std::string>{"127.0.0.1:8501"});
    EXPECT_EQ(events, std::vector<std::string>{"reloaded"});
}

TEST_F(ConfigReloaderTest, AFileWithoutDiscoveryKeepsTheCurrentAddress) {
    write(replace_once(kConfig, "\"discovery\":\"127.0.0.1:8500\",", ""));
    reloader.reload();
    EXPECT_EQ(discoveries, std::vector<std::string>{"127.0.0.1:8500"});
}

TEST_F(ConfigReloaderTest, ATruncatedFileIsRetriedAndItsRejectionLoggedOnce) {
    write(std::string(kConfig).substr(0, 100));
    reloader.reload();
    run(180);
    EXPECT_TRUE(discoveries.empty());
    EXPECT_EQ(events, std::vector<std::string>{"reload_refused"});
    write(replace_once(kConfig, "127.0.0.1:8500", "127.0.0.1:8502"));
    run(180);
    EXPECT_EQ(discoveries, std::vector<std::string>{"127.0.0.1:8502"});
    EXPECT_EQ(events, (std::vector<std::string>{"reload_refused", "reloaded"}));
}

}  // namespace
}  // namespace gorsenotch::test
