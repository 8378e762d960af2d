/// @file
/// Calls the operators' API of the first VM that can be reached.

#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace goldcrestctl {

/// @brief What a VM answered.
struct Reply {
  int Status = 0;
  nlohmann::json Body;
};

/// @brief A blocking client.
class OperatorClient {
public:
  OperatorClient(std::vector<std::string> Servers, std::string Key,
                 std::string Operator)
      : Servers{std::move(Servers)}, Key{std::move(Key)}, Operator{std::move(
                                                              Operator)} {}

  /// @brief Sends a request; goes on to the next VM only if none of it can
  /// have been received.
  /// @throws goldcrestnotch::Error if no VM answers.
  [[nodiscard]] Reply send(const std::string &Method, const std::string &Path,
                           const std::string &Body);

private:
  std::vector<std::string> Servers;
  std::string Key;
  std::string Operator;
};

} // namespace goldcrestctl
