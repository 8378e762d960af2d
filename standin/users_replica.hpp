/// @file
/// Stand-in for a replica of the users' platform. It counts what it runs and
/// misbehaves as tests ask.

#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <boost/asio/io_context.hpp>

#include "goldcrestnotch/http/server.hpp"

namespace standin {

/// @brief One replica with an id of its own.
class UsersReplica {
public:
  /// @brief What it does with requests.
  enum class Mood : std::uint8_t {
    Well,
    Full,         ///< States that it ran nothing.
    Failing,      ///< Runs, and answers 500.
    Vanishing,    ///< Runs, and closes without an answer.
    Tearing,      ///< Breaks off in the middle of the third event.
    Gibbering,    ///< Answers with another request's id, then rightly.
    LongHead,     ///< Answers with a head that goes on and on.
    Endless,      ///< Answers with a body that never ends.
    StaleEndless, ///< The same, with another request's id.
  };

  UsersReplica(boost::asio::io_context &Context, std::string Name,
               const goldcrestnotch::http::Endpoint &Where);

  std::string Version = "v1"; ///< Set before it is registered.

  [[nodiscard]] const std::string &name() const noexcept { return Name; }
  /// @brief What stands in the registry about it.
  [[nodiscard]] std::string entry(const std::string &Service,
                                  const std::string &State) const;
  [[nodiscard]] std::uint16_t port() const noexcept { return Link.port(); }
  /// @brief Others reach it by this port, not by its own.
  void reachBy(std::uint16_t Port) { Where.Port = Port; }
  /// @brief How often it ran the request of an attempt.
  [[nodiscard]] int runsOf(const std::string &Attempt) const;
  /// @brief Bytes of endless answers that callers have taken.
  [[nodiscard]] std::uint64_t noise() const noexcept { return Noise; }
  /// @brief Requests that it ran.
  [[nodiscard]] std::uint64_t runs() const noexcept { return Runs; }
  /// @brief Header fields of the last request that it ran.
  [[nodiscard]] goldcrestnotch::http::Headers last() const;

  std::atomic<Mood> Now{Mood::Well};
  std::atomic<int> Events{5};
  std::atomic<int> EventMs{1}; ///< Before each event.

private:
  [[noreturn]] void makeNoise(goldcrestnotch::http::Exchange &Talk,
                              const goldcrestnotch::http::Response &Head);
  void handle(goldcrestnotch::http::Exchange &Talk);
  void stream(goldcrestnotch::http::Exchange &Talk,
              goldcrestnotch::http::Response Head);

  std::string Name;
  goldcrestnotch::http::Endpoint Where;
  std::atomic<std::uint64_t> Runs{0};
  std::atomic<std::uint64_t> Noise{0};
  mutable std::mutex Mutex;
  goldcrestnotch::http::Headers Last;  ///< Guarded by `Mutex`.
  std::map<std::string, int> Attempts; ///< Runs of each; guarded by `Mutex`.
  goldcrestnotch::http::Server Link;
};

} // namespace standin
