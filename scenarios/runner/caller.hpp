/// @file
/// HTTP callers of the fleet under test; each request runs in a coroutine of
/// its own.

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

/// @brief Sends requests from background threads.
class Caller {
public:
  Caller();
  ~Caller();
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;

  [[nodiscard]] boost::asio::io_context &context() noexcept { return Context; }

  /// @brief Starts a request.
  /// @param Options `address`, `method`, `path`, `headers`, `body`,
  /// `timeout_ms`, and `stall_ms`, the pause before each read of the response.
  /// @return The id of the call, for `wait` and `received`.
  [[nodiscard]] std::uint64_t start(const nlohmann::json &Options);
  /// @brief Waits for a call to end, and forgets it.
  /// @return `status`, `headers`, `body`, `first_ms` (time to the first byte of
  /// the body) and `total_ms`; `error` and `verdict` if the call failed.
  [[nodiscard]] nlohmann::json wait(std::uint64_t CallId);
  /// @brief Bytes of the response body received so far; 0 for an unknown call.
  [[nodiscard]] std::size_t received(std::uint64_t CallId);

private:
  struct Call {
    bool Done = false;
    std::size_t Received = 0;
    nlohmann::json Result;
  };

  void finish(std::uint64_t CallId, nlohmann::json Result);

  boost::asio::io_context Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  std::vector<std::thread> Threads;
  std::mutex Mutex;
  std::condition_variable CallDone;
  std::map<std::uint64_t, Call> Calls; ///< Guarded by `Mutex`.
  std::uint64_t LastId = 0;            ///< Guarded by `Mutex`.
};

} // namespace scenario
