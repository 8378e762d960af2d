/// @file
/// The operators' command-line tool.

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "goldcrestnotch/core/error.hpp"
#include "operator_client.hpp"
#include "table.hpp"

namespace {

using namespace goldcrestctl;
using nlohmann::json;
namespace po = boost::program_options;

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;
constexpr int ExitConflict = 3;

constexpr const char *Usage = R"(goldcrestctl [options] COMMAND [ARGUMENT...]

Commands:
  status                              routes, targets and version moves
  spend                               budgets and what was spent
  fleet                               the VMs on the live list
  plan FILE                           state an intent (a JSON list of changes)
  show PLAN                           a plan and its state
  confirm PLAN                        carry a plan out; safe to repeat
  top-up WORKSPACE TOKENS             plan tokens for a budget
  move NAME ROUTE FROM TO SECONDS     plan a version move, due in SECONDS
  remove workspace|route|target NAME  plan a removal

The operator key is read from GOLDCRESTNOTCH_OPERATOR_KEY or --key-file.
Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict.

)";

struct Choices {
  std::vector<std::string> Servers;
  std::string Key;
  std::string Operator;
  bool Json = false;
  bool Yes = false;
  std::vector<std::string> Words;
};

/// A fault of the command line.
struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::string readFile(const std::string &Name) {
  const std::ifstream In{Name};
  if (!In) {
    throw UsageError{Name + ": cannot be read"};
  }
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

std::string keyOf(const po::variables_map &Chosen) {
  if (Chosen.contains("key-file")) {
    auto Key = readFile(Chosen["key-file"].as<std::string>());
    while (!Key.empty() &&
           std::isspace(static_cast<unsigned char>(Key.back()))) {
      Key.pop_back();
    }
    return Key;
  }
  const char *Key = std::getenv("GOLDCRESTNOTCH_OPERATOR_KEY");
  return Key == nullptr ? std::string{} : Key;
}

const std::string &word(const Choices &Given, std::size_t At) {
  if (At >= Given.Words.size()) {
    throw UsageError{"an argument is missing; see --help"};
  }
  return Given.Words[At];
}

std::int64_t numberWord(const Choices &Given, std::size_t At) {
  const auto &Text = word(Given, At);
  try {
    std::size_t Used = 0;
    const auto Value = std::stoll(Text, &Used);
    if (Used == Text.size()) {
      return Value;
    }
  } catch (const std::exception &) {
    // Reported below, as any other text that is no number.
  }
  throw UsageError{"'" + Text + "' is not a whole number"};
}

int finish(const Choices &Given, const Reply &Result) {
  if (Given.Json) {
    std::cout << Result.Body.dump(2) << '\n';
  } else if (Result.Body.contains("error")) {
    std::cerr << "goldcrestctl: "
              << Result.Body.at("error").value("message", "the request failed")
              << '\n';
  } else if (Result.Body.contains("plan")) {
    printPlan(std::cout, Result.Body);
  } else {
    printTables(std::cout, Result.Body);
  }
  if (Result.Status == 409) {
    return ExitConflict;
  }
  return Result.Status == 200 ? 0 : ExitFailed;
}

int intend(const Choices &Given, const std::string &Changes) {
  OperatorClient Link{Given.Servers, Given.Key, Given.Operator};
  const auto Stated = Link.send("POST", "intents", Changes);
  if (!Given.Yes || Stated.Status != 200) {
    const auto Code = finish(Given, Stated);
    if (Code == 0 && !Given.Json) {
      std::cout << "Nothing has changed yet. To carry it out: goldcrestctl "
                   "confirm "
                << Stated.Body.at("plan").get<std::string>() << '\n';
    }
    return Code;
  }
  const auto Name = Stated.Body.at("plan").get<std::string>();
  return finish(Given, Link.send("POST", "plans/" + Name + "/confirm", ""));
}

json moveChange(const Choices &Given) {
  const auto Now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return json::array(
      {{{"kind", "move"},
        {"name", word(Given, 1)},
        {"route", word(Given, 2)},
        {"from", word(Given, 3)},
        {"to", word(Given, 4)},
        {"deadline_ms", Now.count() + numberWord(Given, 5) * 1'000}}});
}

int command(const Choices &Given) {
  OperatorClient Link{Given.Servers, Given.Key, Given.Operator};
  const auto &Verb = word(Given, 0);
  if (Verb == "status" || Verb == "spend" || Verb == "fleet") {
    return finish(Given, Link.send("GET", Verb, ""));
  }
  if (Verb == "show") {
    return finish(Given, Link.send("GET", "plans/" + word(Given, 1), ""));
  }
  if (Verb == "confirm") {
    return finish(
        Given, Link.send("POST", "plans/" + word(Given, 1) + "/confirm", ""));
  }
  if (Verb == "plan") {
    return intend(Given, readFile(word(Given, 1)));
  }
  if (Verb == "top-up") {
    return intend(Given, json::array({{{"kind", "top-up"},
                                       {"workspace", word(Given, 1)},
                                       {"tokens", numberWord(Given, 2)}}})
                             .dump());
  }
  if (Verb == "move") {
    return intend(Given, moveChange(Given).dump());
  }
  if (Verb == "remove") {
    return intend(Given, json::array({{{"kind", "remove"},
                                       {"what", word(Given, 1)},
                                       {"name", word(Given, 2)}}})
                             .dump());
  }
  throw UsageError{"there is no command '" + Verb + "'; see --help"};
}

int run(int Count, char **Words) {
  Choices Given;
  po::options_description Shown{"Options"};
  Shown.add_options()("help,h", "show this text")("version,V",
                                                  "show the version")(
      "server,s", po::value(&Given.Servers)->composing(),
      "address:port of a VM; may be given several times")(
      "key-file", po::value<std::string>(), "file with the operator key")(
      "operator", po::value(&Given.Operator)->default_value("operator"),
      "name that stands in plans")("json", po::bool_switch(&Given.Json),
                                   "print JSON")(
      "yes,y", po::bool_switch(&Given.Yes), "confirm a plan at once");
  po::options_description All;
  All.add(Shown).add_options()("words", po::value(&Given.Words)->composing());
  po::positional_options_description Positions;
  Positions.add("words", -1);
  po::variables_map Chosen;
  po::store(po::command_line_parser(Count, Words)
                .options(All)
                .positional(Positions)
                .run(),
            Chosen);
  po::notify(Chosen);
  if (Chosen.contains("help")) {
    std::cout << Usage << Shown;
    return 0;
  }
  if (Chosen.contains("version")) {
    std::cout << "goldcrestctl " GOLDCRESTNOTCH_VERSION "\n";
    return 0;
  }
  Given.Key = keyOf(Chosen);
  if (Given.Servers.empty() || Given.Key.empty()) {
    throw UsageError{"a --server and an operator key are required"};
  }
  return command(Given);
}

} // namespace

int main(int Count, char **Words) {
  try {
    return run(Count, Words);
  } catch (const UsageError &Failure) {
    std::cerr << "goldcrestctl: " << Failure.what() << '\n';
    return ExitUsage;
  } catch (const po::error &Failure) {
    std::cerr << "goldcrestctl: " << Failure.what() << '\n';
    return ExitUsage;
  } catch (const std::exception &Failure) {
    std::cerr << "goldcrestctl: " << Failure.what() << '\n';
    return ExitFailed;
  }
}
