// Files that must be refused, each with its line and reason, and those that ship, which must be taken.
#include "settings/settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace gorsenotch::settings {
namespace {

std::string slurp(const std::string& file) {
    std::ifstream in(std::string(GORSENOTCH_ROOT "/") + file);
    std::ostringstream all;
    all << in.rdbuf();
    return all.str();
}

const std::string kGood = slurp("examples/local.xml");

std::string faults_of(const std::string& text) {
    std::vector<FileFault> faults;
    const bool taken = parse(text, "f.xml", faults).has_value();
    EXPECT_EQ(taken, faults.empty());
    return render("f.xml", faults);
}

std::string changed(const std::string& from, const std::string& to) {
    std::string text = kGood;
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

TEST(SettingsFile, ShippedOnesAreGood) {
    EXPECT_EQ(faults_of(kGood), "");
    EXPECT_EQ(faults_of(slurp("days/settings.xml")), "");
    std::vector<FileFault> faults;
    const auto program = parse(kGood, "dir/f.xml", faults);
    EXPECT_EQ(program->engines.size(), 10u);
    EXPECT_EQ(program->router.classes[0].deadline, 5000);
    EXPECT_EQ(program->router.connect_timeout, 250);
    EXPECT_EQ(program->limits.stream_buffer, 32768u);  // defaults of the schema
    EXPECT_EQ(tenant_of(*program, "local-key"), 0);
    EXPECT_EQ(tenant_of(*program, "local-kez"), -1);
    EXPECT_EQ(tenant_of(*program, ""), -1);
}

TEST(SettingsFile, BadOnesAreRefusedWithLineAndReason) {
    const struct {
        std::string from, to, want;
    } cases[] = {
        {"aim-ms=\"1000\"", "aim-ms=\"soon\"", "f.xml:12: class: attribute 'aim-ms'"},
        {"aim-ms=\"1000\"", "aim-ms=\"6000\"", "f.xml:12: class: aim-ms is beyond deadline-ms"},
        {" deadline-ms=\"5000\"", "", "f.xml:12: class: The attribute 'deadline-ms' is required"},
        {"worth=\"3\"", "worth=\"3\" colour=\"red\"", "f.xml:12: class: attribute 'colour'"},
        {"<route class=\"chat\"/>", "", "the last route must match all"},
        {"<route class=\"chat\"/>", "<route class=\"none\"/>", "there is no 'none'"},
        {"<route class=\"quick\" header", "<route class=\"chat\"/><route class=\"quick\" header",
         "no later route"},
        {"header=\"x-class\" value=\"quick\"", "header=\"x-class\"", "header and value go together"},
        {"own=\"north\"", "own=\"west\"", "own: there is no 'west'"},
        {"<zone name=\"south\"/>", "<zone name=\"north\"/>", "'north' stands twice"},
        {"id=\"2\"", "id=\"1\"", "id 1 stands twice"},
        {"127.0.1.2:8101", "127.0.1.1:8101", "address 127.0.1.1:8101 stands twice"},
        {"127.0.1.2:8101", "somewhere", "engine: "},
        {"kind=\"decode\" zone", "kind=\"write\" zone", "kind: there is no 'write'"},
        {"role=\"write\"", "role=\"read\"", "some must read and some must write"},
        {"role=\"read\"", "role=\"sing\"", "kind: "},
        {"memory-tokens=\"100000\"", "memory-tokens=\"0\"", "memory-tokens should be 1 or more"},
        {"worth=\"3\"", "worth=\"3\" effect=\"by_key\"", "needs window-ms"},
        {"worth=\"3\"", "worth=\"3\" window-ms=\"100\"", "for effect 'by_key' only"},
        {"<fleet>", "<routing dial-timeout-ms=\"3000\"/><fleet>", "no second server could be tried"},
        {"<fleet>", "<guarantees start-capacity=\"0\"/><fleet>", "start-capacity should be above 0"},
        {"<fleet>", "<guarantees fall-multiple=\"0.5\"/><fleet>", "fall-multiple should be 1 or more"},
        {"sha256=\"", "sha256=\"0", "key: "},
        {"<log level=\"info\"/>", "<log level=\"loud\"/>", "f.xml:5: log: "},
        {"<standin kind=\"decode\"/>", "<standin kind=\"prefill\"/>", "this kind stands twice"},
        {"</gorsenotch>", "", "f.xml:"},
        {"<gorsenotch xmlns=\"urn:gorsenotch:1\">", "<gorsenotch>", "f.xml:3: gorsenotch: "},
        {"<?xml version=\"1.0\" encoding=\"UTF-8\"?>",
         "<?xml version=\"1.0\"?><!DOCTYPE gorsenotch [<!ENTITY x SYSTEM \"file:///etc/passwd\">]>",
         "not allowed"},
    };
    for (const auto& change : cases) {
        const auto reported = faults_of(changed(change.from, change.to));
        EXPECT_NE(reported.find(change.want), std::string::npos) << change.to << "\nreported: " << reported;
    }
    for (const char* text : {"", "x", "<a/>", "<fleet xmlns=\"urn:gorsenotch:1\"/>"})
        EXPECT_NE(faults_of(text), "") << text;
}

TEST(SettingsFile, AllFaultsAtOnce) {
    std::string text = changed("aim-ms=\"1000\"", "aim-ms=\"6000\"");
    text.replace(text.find("own=\"north\""), 11, "own=\"west\"");
    text.replace(text.find("id=\"2\""), 6, "id=\"1\"");
    const auto said = faults_of(text);
    EXPECT_EQ(std::count(said.begin(), said.end(), '\n'), 3) << said;
}

TEST(SettingsFile, KeyedClassesHaveATwinThatRunsOnce) {
    std::vector<FileFault> faults;
    const auto program = parse(slurp("days/settings.xml"), "f.xml", faults);
    ASSERT_TRUE(program);
    ASSERT_EQ(program->unkeyed_class.size(), 1u);
    const auto [keyed, twin] = *program->unkeyed_class.begin();
    EXPECT_EQ(program->classes[static_cast<std::size_t>(keyed)],
              program->classes[static_cast<std::size_t>(twin)]);
    EXPECT_EQ(program->router.classes[static_cast<std::size_t>(twin)].idempotency, Idempotency::unsafe);
}

TEST(FleetFile, ReadBackAndRefused) {
    std::vector<FileFault> faults;
    const auto program = parse(kGood, "f.xml", faults);
    auto engines = program->engines;
    engines[1].endpoint.status = EndpointStatus::draining,
    engines[2].endpoint.status = EndpointStatus::removed, engines[2].endpoint.started_at = 1.7e12;
    const auto back = parse_fleet(write_fleet(engines, *program), *program, faults);
    ASSERT_TRUE(back) << render("", faults);
    EXPECT_EQ(back->size(), engines.size());
    EXPECT_EQ((*back)[1].endpoint.status, EndpointStatus::draining);
    EXPECT_EQ((*back)[2].endpoint.started_at, 1.7e12);
    EXPECT_EQ((*back)[2].address, engines[2].address);
    const std::string whole = write_fleet(engines, *program);
    for (std::size_t n = 0; n + 2 < whole.size(); n += 7) {  // a file that is being written
        faults.clear();
        EXPECT_FALSE(parse_fleet(whole.substr(0, n), *program, faults)) << n;
        EXPECT_FALSE(faults.empty());
    }
}

}  // namespace
}  // namespace gorsenotch::settings
