/// @file
/// Tables of text.

#include "table.hpp"

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <string>
#include <vector>

namespace goldcrestctl {

using nlohmann::json;

namespace {

std::string shown(const json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

void printTable(std::ostream &Out, const std::string &Title, const json &Rows) {
  Out << Title << ":";
  if (Rows.empty()) {
    Out << " none\n";
    return;
  }
  Out << '\n';
  for (const auto &[Name, First] : Rows.front().items()) {
    std::size_t Width = Name.size();
    for (const auto &Row : Rows) {
      Width = std::max(Width, shown(Row.at(Name)).size());
    }
    Out << "  " << std::left << std::setw(static_cast<int>(Width)) << Name;
  }
  Out << '\n';
  for (const auto &Row : Rows) {
    for (const auto &[Name, Value] : Row.items()) {
      std::size_t Width = Name.size();
      for (const auto &Other : Rows) {
        Width = std::max(Width, shown(Other.at(Name)).size());
      }
      Out << "  " << std::left << std::setw(static_cast<int>(Width))
          << shown(Value);
    }
    Out << '\n';
  }
}

} // namespace

void printTables(std::ostream &Out, const json &Body) {
  for (const auto &[Name, Value] : Body.items()) {
    if (Value.is_array()) {
      printTable(Out, Name, Value);
    } else {
      Out << Name << ": " << shown(Value) << '\n';
    }
  }
}

void printPlan(std::ostream &Out, const json &Plan) {
  Out << "plan " << shown(Plan.at("plan")) << ": " << shown(Plan.at("state"))
      << " (base version " << Plan.at("base").dump();
  if (Plan.value("version", 0) != 0) {
    Out << ", in force as version " << Plan.at("version").dump();
  }
  Out << ")\n";
  for (const auto &Line : Plan.at("changes")) {
    Out << "  " << shown(Line) << '\n';
  }
  for (const auto &Line : Plan.at("conflicts")) {
    Out << "  conflict: " << shown(Line) << '\n';
  }
}

} // namespace goldcrestctl
