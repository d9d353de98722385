// Message and write_action: parsing and writing single lines of the simulator's wire protocol.
#include "simulator_adapter/message.h"

#include <gtest/gtest.h>

#include <functional>
#include <sstream>

#include "simulator_adapter/action_writer.h"

namespace gorsenotch::simulator_adapter {
namespace {

std::string error_of(const std::function<void()>& access) {
    try {
        access();
    } catch (const WireError& error) {
        return error.what();
    }
    return "";
}

TEST(Message, FieldsAreParsedByTheirTypes) {
    const Message message("finished\t7\t-\t1.5\ttrue\tRST\tcordoned\tX");
    EXPECT_EQ(message.word(), "finished");
    EXPECT_EQ(message.size(), 8U);
    EXPECT_EQ(message.integer<int>(1), 7);
    EXPECT_EQ(message.number(2, 9), 9) << "absent";
    EXPECT_EQ(message.number(3), 1.5);
    EXPECT_TRUE(message.flag(4));
    EXPECT_FALSE(message.flag(2)) << "absent";
    EXPECT_EQ(message.result(5), AttemptResult::reset);
    EXPECT_EQ(message.status(6), EndpointStatus::draining);
    EXPECT_EQ(message.update_kind(7), EndpointUpdate::Kind::failed);
}

TEST(Message, MalformedFieldsAreReportedWithTheirText) {
    const Message message("word\tx");
    EXPECT_EQ(error_of([&] { message.text(2); }), "field 2 is missing");
    EXPECT_EQ(error_of([&] { message.number(1); }), "expected a number or '-', got 'x'");
    EXPECT_EQ(error_of([&] { message.flag(1); }), "expected a boolean, got 'x'");
    EXPECT_EQ(error_of([&] { message.result(1); }), "unknown value 'x'");
    EXPECT_EQ(error_of([&] { message.load_report(1); }), "load report: expected name:value, got 'x'");
}

TEST(Message, ALoadReportIsParsedByValueNames) {
    const LoadReport report = Message("w\tmean_ms:30,x0:0.5,other:1,x1:-").load_report(1);
    EXPECT_EQ(report.memory_utilization, 0.5);
    EXPECT_EQ(report.queued_kilotokens, -1) << "absent";
    EXPECT_EQ(report.latency, 30);
}

TEST(Message, OnlyALineWithoutFieldsIsEmpty) {
    EXPECT_TRUE(Message("").empty());
    EXPECT_FALSE(Message("\t").empty());
}

TEST(ActionWriter, NumbersAreWrittenWithFullPrecision) {
    std::ostringstream out;
    write_action(out, "gateway_1", SetTimer{7, 0.1});
    write_action(out, "gateway_1", WatchEndpoints{});
    write_action(out, "gateway_1", ReserveSlot{"id-1", 3});
    EXPECT_EQ(out.str(),
              "set_timer\tgateway_1\t7\t0.10000000000000001\nwatch\tgateway_1\t1\n"
              "hold_place\tgateway_1\tid-1\t3\n");
}

}  // namespace
}  // namespace gorsenotch::simulator_adapter
