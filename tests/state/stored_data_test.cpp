// Data written by an earlier version (tests/stored) must be read by this one and must mean the same.
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

const std::string kStored = GORSENOTCH_ROOT "/tests/stored";

settings::Program day_settings() {
    std::vector<settings::FileFault> faults;
    auto program = settings::load(GORSENOTCH_ROOT "/days/settings.xml", faults);
    EXPECT_TRUE(program) << settings::render("settings", faults);
    return program ? *program : settings::Program{};
}

// A copy of the saved list without the given generation's file.
class SavedCopy {
public:
    explicit SavedCopy(const std::string& without = "") {
        char name[] = "/tmp/gorsenotch-stored-XXXXXX";
        folder_ = mkdtemp(name);
        for (const auto* file : {"fleet.a", "fleet.b"}) {
            if (file != without) std::filesystem::copy(kStored + "/saved/" + file, folder_ / file);
        }
    }
    ~SavedCopy() { std::filesystem::remove_all(folder_); }
    SavedCopy(const SavedCopy&) = delete;
    SavedCopy& operator=(const SavedCopy&) = delete;

    std::vector<settings::Engine> load() const {
        const auto [text, error] = state::SnapshotStore(folder_.string(), "fleet").load();
        EXPECT_FALSE(error);
        std::vector<settings::FileFault> faults;
        const auto engines =
            text ? settings::parse_fleet(*text, day_settings(), faults) : std::vector<settings::Engine>{};
        EXPECT_TRUE(faults.empty()) << settings::render("saved list", faults);
        return engines.value_or(std::vector<settings::Engine>{});
    }

private:
    std::filesystem::path folder_;
};

TEST(StoredData, JournalReplaysToTheSameActions) {
    std::ifstream journal(kStored + "/journal.ndjson");
    ASSERT_TRUE(journal);
    auto module = day_settings().router;
    module.own_zone = 1;
    module.gateways = 2;
    const auto replayed = state::replay(journal, module);
    EXPECT_EQ(replayed.difference, "");
    EXPECT_EQ(replayed.events, 1701);
    EXPECT_EQ(replayed.actions, 1333);
}

TEST(StoredData, SavedListIsReadFromEitherGeneration) {
    const auto newest = SavedCopy().load();
    ASSERT_EQ(newest.size(), 10U);
    EXPECT_EQ(newest[9].address, "127.92.2.10:39799");
    const auto first = SavedCopy("fleet.a").load();
    const auto second = SavedCopy("fleet.b").load();
    ASSERT_EQ(first.size(), 10U);
    ASSERT_EQ(second.size(), 10U);
    for (std::size_t i = 0; i < newest.size(); ++i) {
        EXPECT_EQ(newest[i].endpoint.id, i + 1);
        EXPECT_EQ(first[i].address, newest[i].address);
        EXPECT_EQ(second[i].address, newest[i].address);
    }
}

TEST(StoredData, RecordsAreJudgedAsWhenTheyWereWritten) {
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(kStored + "/records"))
        files.push_back(entry.path().string());
    const auto records = invariants::read(files);
    EXPECT_EQ(records.size(), 4393U);
    const auto program = day_settings();
    invariants::CheckerSettings terms;
    terms.classes = program.classes;
    terms.class_settings = program.router.classes;
    terms.answer_slack = program.router.answer_slack;
    terms.drain_grace = program.router.drain_grace;
    terms.release_within = program.router.lease_release_timeout;
    terms.overload_factor = program.router.overload_factor;
    terms.overload_window = program.router.overload_window;
    const auto verdict = invariants::check_records(records, terms);
    EXPECT_TRUE(verdict.kept());
    const std::vector<long> cases = {399, 811, 394, 109, 398, 42, 2, 400};
    ASSERT_EQ(verdict.findings.size(), cases.size());
    for (std::size_t i = 0; i < cases.size(); ++i)
        EXPECT_EQ(verdict.findings[i].cases, cases[i]) << verdict.findings[i].what;
    EXPECT_EQ(verdict.service.asked, 399);
    EXPECT_EQ(verdict.service.answered, 390);
    EXPECT_EQ(verdict.service.refused, 2);
    EXPECT_EQ(verdict.service.failed, 7);
}

}  // namespace
}  // namespace gorsenotch::test
