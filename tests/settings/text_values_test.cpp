// Values as error messages show them.
#include "settings/text_values.h"

#include <gtest/gtest.h>

namespace gorsenotch::settings {
namespace {

TEST(EscapeValue, VisibleCharactersAndSpacesStay) {
    EXPECT_EQ(escape_value(""), "");
    EXPECT_EQ(escape_value("a b~1/?"), "a b~1/?");
}

TEST(EscapeValue, ControlBytesAndBytesAbove126AreShownInHexadecimal) {
    EXPECT_EQ(escape_value(std::string_view("\0\t\r\n\x1f", 5)), R"(\x00\x09\x0d\x0a\x1f)");
    EXPECT_EQ(escape_value("\x7f\xc3\xa9\xff"), R"(\x7f\xc3\xa9\xff)");
}

// Guards against a value that ends the quoted text early, or that reads like an escaped byte.
TEST(EscapeValue, QuotesAndBackslashesAreEscaped) {
    EXPECT_EQ(escape_value(R"(a"b'c\x41)"), R"(a\"b\'c\\x41)");
}

TEST(EscapeValue, ShowsAtMost64BytesOfTheValue) {
    EXPECT_EQ(escape_value(std::string(64, 'x')), std::string(64, 'x'));
    EXPECT_EQ(escape_value(std::string(65, 'x')), std::string(64, 'x') + "...");
    std::string escaped;
    for (int i = 0; i < 64; ++i) escaped += R"(\x01)";
    EXPECT_EQ(escape_value(std::string(1000, '\x01')), escaped + "...");
}

}  // namespace
}  // namespace gorsenotch::settings
