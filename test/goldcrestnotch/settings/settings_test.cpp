/// @file
/// Tests of parsing and validating settings files.

#include "goldcrestnotch/settings/settings.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch {
namespace {

constexpr const char *ValidSettings = R"([vm]
name = "vm1"
domain = "dakar-1"
entry = "127.0.0.1:8000"
peer = "127.0.0.1:8001"
[platform]
address = "127.0.0.1:9000"
[keys]
operator = "operator-key-0123456789"
peer = "peer-key-0123456789abcd"
)";

std::vector<std::string> faultsOf(const std::string &Text) {
  try {
    (void)Settings::parse(Text, "vm.toml");
  } catch (const SettingsError &Exception) {
    return Exception.faults();
  }
  return {};
}

TEST(Settings, ParsesValidFile) {
  const auto Parsed = Settings::parse(ValidSettings, "vm.toml");
  EXPECT_EQ(Parsed.Vm, VmId{"vm1"});
  EXPECT_EQ(Parsed.Entry.Port, 8000);
}

TEST(Settings, ReportsAllErrorsAtOnce) {
  const auto Faults = faultsOf(std::string{ValidSettings} + R"([traffic]
max_streams = -1
between_ms = "soon"
colour = "blue"
[nonsense]
)");
  ASSERT_EQ(Faults.size(), 4U);
  EXPECT_EQ(Faults[0].rfind("vm.toml:13: traffic.between_ms", 0), 0U);
}

TEST(Settings, ReportsMissingKeys) { EXPECT_EQ(faultsOf("").size(), 7U); }

TEST(Settings, ReportsLineOfSyntaxError) {
  const auto Faults = faultsOf("[vm]\nname = \n");
  ASSERT_EQ(Faults.size(), 1U);
  EXPECT_EQ(Faults[0].rfind("vm.toml:2:", 0), 0U);
}

TEST(Settings, RejectsSameEntryAndPeerAddress) {
  std::string Text = ValidSettings;
  const auto Position = Text.find("8001");
  Text.replace(Position, 4, "8000");
  EXPECT_EQ(faultsOf(Text).size(), 1U);
}

TEST(Settings, RejectsShortKey) {
  std::string Text = ValidSettings;
  const auto Position = Text.find("operator-key-0123456789");
  Text.replace(Position, 23, "short");
  EXPECT_EQ(faultsOf(Text).size(), 1U);
}

} // namespace
} // namespace goldcrestnotch
