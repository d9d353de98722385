// Settings files that must be rejected, each with line and reason, and the shipped ones, which must be
// accepted.
#include "settings/settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace gorsenotch::settings {
namespace {

std::string read_source_file(const std::string& file) {
    std::ifstream in(std::string(GORSENOTCH_ROOT "/") + file);
    std::ostringstream content;
    content << in.rdbuf();
    return content.str();
}

const std::string kValidSettings = read_source_file("examples/local.xml");

// The rendered faults of a settings file with this text.
std::string faults_of(const std::string& text) {
    std::vector<FileFault> faults;
    const bool accepted = parse(text, "f.xml", faults).has_value();
    EXPECT_EQ(accepted, faults.empty());
    return render("f.xml", faults);
}

// The valid settings with the first `from` replaced by `to`.
std::string replace_in_settings(const std::string& from, const std::string& to) {
    std::string text = kValidSettings;
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

TEST(SettingsFile, AcceptsTheShippedFiles) {
    EXPECT_EQ(faults_of(kValidSettings), "");
    EXPECT_EQ(faults_of(read_source_file("days/settings.xml")), "");
    std::vector<FileFault> faults;
    const auto program = parse(kValidSettings, "dir/f.xml", faults);
    EXPECT_EQ(program->engines.size(), 10u);
    EXPECT_EQ(program->router.classes[0].deadline, 5000);
    EXPECT_EQ(program->router.connect_timeout, 250);
    EXPECT_EQ(program->limits.stream_buffer_bytes, 32768u);  // defaults of the schema
    EXPECT_EQ(tenant_of(*program, "local-key"), 0);
    EXPECT_EQ(tenant_of(*program, "local-kez"), -1);
    EXPECT_EQ(tenant_of(*program, ""), -1);
}

TEST(SettingsFile, RejectsInvalidFilesWithLineAndReason) {
    const struct {
        std::string from, to, expected;
    } cases[] = {
        {"aim-ms=\"1000\"", "aim-ms=\"soon\"", "f.xml:12: class: attribute 'aim-ms'"},
        {"aim-ms=\"1000\"", "aim-ms=\"6000\"",
         "f.xml:12: class: aim-ms must not exceed deadline-ms, got 6000 and 5000"},
        {" deadline-ms=\"5000\"", "", "f.xml:12: class: The attribute 'deadline-ms' is required"},
        {"worth=\"3\"", "worth=\"3\" colour=\"red\"", "f.xml:12: class: attribute 'colour'"},
        {"<route class=\"chat\"/>", "", "the last route must match every request"},
        {"<route class=\"chat\"/>", "<route class=\"none\"/>", "class: unknown name 'none'"},
        {"<route class=\"quick\" header", "<route class=\"chat\"/><route class=\"quick\" header",
         "no later route"},
        {"header=\"x-class\" value=\"quick\"", "header=\"x-class\"",
         "header and value must be given together"},
        {"own=\"north\"", "own=\"west\"", "own: unknown name 'west'"},
        {"<zone name=\"south\"/>", "<zone name=\"north\"/>", "duplicate name 'north'"},
        {"id=\"2\"", "id=\"1\"", "duplicate id 1"},
        {"127.0.1.2:8101", "127.0.1.1:8101", "duplicate address 127.0.1.1:8101"},
        {"127.0.1.2:8101", "somewhere", "engine: "},
        {"kind=\"decode\" zone", "kind=\"write\" zone", "kind: unknown name 'write'"},
        {"role=\"write\"", "role=\"read\"", "at least one must prefill and at least one must decode"},
        {"role=\"read\"", "role=\"sing\"", "kind: "},
        {"memory-tokens=\"100000\"", "memory-tokens=\"0\"", "memory-tokens must be 1 or more, got 0"},
        {"worth=\"3\"", "worth=\"3\" effect=\"by_key\"", "requires window-ms above 0"},
        {"worth=\"3\"", "worth=\"3\" window-ms=\"100\"", "only for effect 'by_key', got effect 'repeatable'"},
        {"<fleet>", "<routing dial-timeout-ms=\"3000\"/><fleet>",
         "got 3000: no second engine could be tried"},
        {"<fleet>", "<guarantees start-capacity=\"0\"/><fleet>", "start-capacity must be above 0, got 0"},
        {"<fleet>", "<guarantees fall-multiple=\"0.5\"/><fleet>", "fall-multiple must be 1 or more, got 0.5"},
        {"sha256=\"", "sha256=\"0", "key: "},
        {"<log level=\"info\"/>", "<log level=\"loud\"/>", "f.xml:5: log: "},
        {"<standin kind=\"decode\"/>", "<standin kind=\"prefill\"/>", "duplicate kind 'prefill'"},
        {"</gorsenotch>", "", "f.xml:"},
        {"<gorsenotch xmlns=\"urn:gorsenotch:1\">", "<gorsenotch>", "f.xml:3: gorsenotch: "},
        {"<?xml version=\"1.0\" encoding=\"UTF-8\"?>",
         "<?xml version=\"1.0\"?><!DOCTYPE gorsenotch [<!ENTITY x SYSTEM \"file:///etc/passwd\">]>",
         "not allowed"},
    };
    for (const auto& change : cases) {
        const auto reported = faults_of(replace_in_settings(change.from, change.to));
        EXPECT_NE(reported.find(change.expected), std::string::npos)
            << change.to << "\nreported: " << reported;
    }
    for (const char* text : {"", "x", "<a/>", "<fleet xmlns=\"urn:gorsenotch:1\"/>"})
        EXPECT_NE(faults_of(text), "") << text;
}

TEST(SettingsFile, ReportsAllFaultsTogether) {
    std::string text = replace_in_settings("aim-ms=\"1000\"", "aim-ms=\"6000\"");
    text.replace(text.find("own=\"north\""), 11, "own=\"west\"");
    text.replace(text.find("id=\"2\""), 6, "id=\"1\"");
    const auto reported = faults_of(text);
    EXPECT_EQ(std::count(reported.begin(), reported.end(), '\n'), 3) << reported;
}

TEST(SettingsFile, AddsAnUnsafeCopyOfAClassWithIdempotencyKeysForRequestsWithoutOne) {
    std::vector<FileFault> faults;
    const auto program = parse(read_source_file("days/settings.xml"), "f.xml", faults);
    ASSERT_TRUE(program);
    ASSERT_EQ(program->unkeyed_class.size(), 1u);
    const auto [keyed, unkeyed] = *program->unkeyed_class.begin();
    EXPECT_EQ(program->classes[static_cast<std::size_t>(keyed)],
              program->classes[static_cast<std::size_t>(unkeyed)]);
    EXPECT_EQ(program->router.classes[static_cast<std::size_t>(unkeyed)].idempotency, Idempotency::unsafe);
}

TEST(FleetFile, IsReadBackAndRejectedIfTruncated) {
    std::vector<FileFault> faults;
    const auto program = parse(kValidSettings, "f.xml", faults);
    auto engines = program->engines;
    engines[1].endpoint.status = EndpointStatus::draining,
    engines[2].endpoint.status = EndpointStatus::removed, engines[2].endpoint.started_at = 1.7e12;
    const auto read_back = parse_fleet(write_fleet(engines, *program), *program, faults);
    ASSERT_TRUE(read_back) << render("", faults);
    EXPECT_EQ(read_back->size(), engines.size());
    EXPECT_EQ((*read_back)[1].endpoint.status, EndpointStatus::draining);
    EXPECT_EQ((*read_back)[2].endpoint.started_at, 1.7e12);
    EXPECT_EQ((*read_back)[2].address, engines[2].address);
    const std::string complete = write_fleet(engines, *program);
    for (std::size_t n = 0; n + 2 < complete.size();
         n += 7) {  // truncated: a file that is still being written
        faults.clear();
        EXPECT_FALSE(parse_fleet(complete.substr(0, n), *program, faults)) << n;
        EXPECT_FALSE(faults.empty());
    }
}

}  // namespace
}  // namespace gorsenotch::settings
