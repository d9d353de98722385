// Guards against incompatible format changes: data written by an earlier version (tests/stored) must be read
// by this version with the same results.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "invariants/record.h"
#include "invariants/record_checker.h"
#include "settings/settings.h"
#include "state/decision_journal.h"
#include "state/journal_replay.h"
#include "state/snapshot_store.h"

namespace gorsenotch::test {
namespace {

const std::string kStoredFolder = GORSENOTCH_ROOT "/tests/stored";

settings::ProgramSettings load_program() {
    std::vector<settings::FileFault> faults;
    auto program = settings::load(GORSENOTCH_ROOT "/days/settings.xml", faults);
    EXPECT_TRUE(program) << settings::render("settings", faults);
    return program ? *program : settings::ProgramSettings{};
}

// Copies the stored endpoint list's two files, fleet.a and fleet.b, except `omitted_file`. An absent file is
// not an error.
class StoredListCopy {
public:
    explicit StoredListCopy(const std::string& omitted_file = "") {
        char name[] = "/tmp/gorsenotch-stored-XXXXXX";
        folder_ = mkdtemp(name);
        for (const auto* file : {"fleet.a", "fleet.b"}) {
            if (file != omitted_file) std::filesystem::copy(kStoredFolder + "/saved/" + file, folder_ / file);
        }
    }
    ~StoredListCopy() { std::filesystem::remove_all(folder_); }
    StoredListCopy(const StoredListCopy&) = delete;
    StoredListCopy& operator=(const StoredListCopy&) = delete;

    std::vector<settings::Engine> load() const {
        const auto [text, error] = state::SnapshotStore(folder_.string(), "fleet").load();
        EXPECT_FALSE(error);
        std::vector<settings::FileFault> faults;
        const auto engines =
            text ? settings::parse_fleet(*text, load_program(), faults) : std::vector<settings::Engine>{};
        EXPECT_TRUE(faults.empty()) << settings::render("saved list", faults);
        return engines.value_or(std::vector<settings::Engine>{});
    }

private:
    std::filesystem::path folder_;
};

TEST(StoredData, TheStoredJournalReplaysToTheSameActions) {
    std::ifstream journal(kStoredFolder + "/journal.ndjson");
    ASSERT_TRUE(journal);
    auto router_settings = load_program().router;
    router_settings.own_zone = 1;
    router_settings.gateways = 2;
    const auto replayed = state::replay(journal, router_settings);
    EXPECT_EQ(replayed.difference, "");
    EXPECT_EQ(replayed.events, 1701);
    EXPECT_EQ(replayed.actions, 1333);
}

TEST(StoredData, TheStoredListIsLoadedFromEitherGeneration) {
    const auto newest = StoredListCopy().load();
    ASSERT_EQ(newest.size(), 10U);
    EXPECT_EQ(newest[9].address, "127.92.2.10:39799");
    const auto without_first = StoredListCopy("fleet.a").load();
    const auto without_second = StoredListCopy("fleet.b").load();
    ASSERT_EQ(without_first.size(), 10U);
    ASSERT_EQ(without_second.size(), 10U);
    for (std::size_t i = 0; i < newest.size(); ++i) {
        EXPECT_EQ(newest[i].endpoint.id, i + 1);
        EXPECT_EQ(without_first[i].address, newest[i].address);
        EXPECT_EQ(without_second[i].address, newest[i].address);
    }
}

TEST(StoredData, TheStoredRecordsGetTheVerdictOfTheVersionThatWroteThem) {
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(kStoredFolder + "/records"))
        files.push_back(entry.path().string());
    const auto records = invariants::read(files);
    EXPECT_EQ(records.size(), 4393U);
    const auto program = load_program();
    invariants::CheckerSettings checker_settings;
    checker_settings.classes = program.classes;
    checker_settings.class_settings = program.router.classes;
    checker_settings.answer_slack = program.router.answer_slack;
    checker_settings.drain_grace = program.router.drain_grace;
    checker_settings.release_within = program.router.lease_release_timeout;
    checker_settings.overload_factor = program.router.overload_factor;
    checker_settings.overload_window = program.router.overload_window;
    const auto verdict = invariants::check_records(records, checker_settings);
    EXPECT_TRUE(verdict.all_hold());
    // Finding::cases, in the order of the checks.
    const std::vector<long> expected_cases = {399, 811, 394, 109, 398, 42, 2, 400, 390};
    ASSERT_EQ(verdict.findings.size(), expected_cases.size());
    for (std::size_t i = 0; i < expected_cases.size(); ++i)
        EXPECT_EQ(verdict.findings[i].cases, expected_cases[i]) << verdict.findings[i].what;
    EXPECT_EQ(verdict.service.asked, 399);
    EXPECT_EQ(verdict.service.answered, 390);
    EXPECT_EQ(verdict.service.refused, 2);
    EXPECT_EQ(verdict.service.failed, 7);
}

}  // namespace
}  // namespace gorsenotch::test
