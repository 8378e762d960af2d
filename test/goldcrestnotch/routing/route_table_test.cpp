/// @file
/// Tests of the lookups of routes and workspaces, and of the choice of
/// services.

#include "goldcrestnotch/routing/route_table.hpp"

#include <gtest/gtest.h>

namespace goldcrestnotch::routing {
namespace {

Route route(const char *Name, const char *Host, const char *Prefix) {
  Route Result;
  Result.Name = RouteId{Name};
  Result.Host = Host;
  Result.Prefix = Prefix;
  Result.Services = {{ServiceId{"engines"}, 1}};
  return Result;
}

Configuration sampleConfiguration() {
  Configuration Result;
  Result.Version = 4;
  Result.Routes = {route("short", "a.example", "/x/"),
                   route("long", "a.example", "/x/y/"),
                   route("other", "b.example", "/x/")};
  Result.Workspaces = {{WorkspaceId{"stall"}, {"key-1", "key-2"}, {}, {}}};
  return Result;
}

TEST(RouteTable, LongestPrefixWins) {
  const RouteTable Table{sampleConfiguration()};
  EXPECT_EQ(Table.find("a.example", "/x/y/z")->Name.str(), "long");
  EXPECT_EQ(Table.find("a.example", "/x/z")->Name.str(), "short");
  EXPECT_EQ(Table.find("a.example", "/x/y")->Name.str(), "short");
}

TEST(RouteTable, RoutesOfOtherHostsDoNotMatch) {
  const RouteTable Table{sampleConfiguration()};
  EXPECT_EQ(Table.find("b.example:8080", "/x/y/z")->Name.str(), "other");
  EXPECT_EQ(Table.find("c.example", "/x/"), nullptr);
  EXPECT_EQ(Table.find("a.example", "/w/"), nullptr);
  EXPECT_EQ(Table.find("a.example", ""), nullptr);
}

TEST(RouteTable, EveryKeyFindsItsWorkspace) {
  const RouteTable Table{sampleConfiguration()};
  EXPECT_EQ(Table.workspaceByKey("key-2")->Name.str(), "stall");
  EXPECT_EQ(Table.workspaceByKey("key-3"), nullptr);
}

TEST(RouteTable, ServicesAreChosenByWeight) {
  Route Split = route("r", "a.example", "/x/");
  Split.Services = {
      {ServiceId{"a"}, 90}, {ServiceId{"b"}, 10}, {ServiceId{"c"}, 0}};
  EXPECT_EQ(RouteTable::chooseService(Split, 0.0).str(), "a");
  EXPECT_EQ(RouteTable::chooseService(Split, 0.89).str(), "a");
  EXPECT_EQ(RouteTable::chooseService(Split, 0.91).str(), "b");
  EXPECT_EQ(RouteTable::chooseService(Split, 0.999999).str(), "b");
}

} // namespace
} // namespace goldcrestnotch::routing
