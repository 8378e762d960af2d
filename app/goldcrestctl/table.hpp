/// @file
/// Shows answers to people.

#pragma once

#include <iosfwd>

#include <nlohmann/json.hpp>

namespace goldcrestctl {

/// @brief Prints each list of an answer as a table, each other field as a line.
void printTables(std::ostream &Out, const nlohmann::json &Body);
/// @brief Prints a plan: its state, changes and conflicts.
void printPlan(std::ostream &Out, const nlohmann::json &Plan);

} // namespace goldcrestctl
