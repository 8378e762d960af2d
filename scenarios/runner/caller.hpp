/// @file
/// Callers of the fleet under test, each request in a coroutine of its own.

#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

namespace scenario {

/// @brief Sends requests in the background.
class Caller {
public:
  Caller();
  ~Caller();
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;

  [[nodiscard]] boost::asio::io_context &context() noexcept { return Context; }

  /// @brief Begins a request: `address`, `method`, `path`, `headers`, `body`,
  /// `timeout_ms`, and `stall_ms` to wait before each read.
  /// @return A number to wait for.
  [[nodiscard]] std::uint64_t start(const nlohmann::json &Asked);
  /// @brief Waits for an answer: `status`, `headers`, `body`, `first_ms`,
  /// `total_ms`; or `error` and `verdict`.
  [[nodiscard]] nlohmann::json wait(std::uint64_t Number);
  /// @brief What has come of an answer so far, in bytes.
  [[nodiscard]] std::size_t received(std::uint64_t Number);

private:
  struct Call {
    bool Done = false;
    std::size_t Received = 0;
    nlohmann::json Result;
  };

  void finish(std::uint64_t Number, nlohmann::json Result);

  boost::asio::io_context Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  std::vector<std::thread> Threads;
  std::mutex Mutex;
  std::condition_variable Ended;
  std::map<std::uint64_t, Call> Calls; ///< Guarded by `Mutex`.
  std::uint64_t Last = 0;              ///< Guarded by `Mutex`.
};

} // namespace scenario
