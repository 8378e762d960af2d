/// @file
/// Suspends a coroutine until a callback delivers a result, possibly from
/// another thread.

#pragma once

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/system/error_code.hpp>

namespace goldcrestnotch {

/// @brief The executor that a coroutine runs on.
/// @details In Boost 1.74 the yield context itself has no associated executor,
/// and get_associated_executor() returns the system executor for it. The
/// executor is therefore taken from the completion handler.
[[nodiscard]] inline auto executorOf(boost::asio::yield_context Yield) {
  boost::asio::async_completion<boost::asio::yield_context,
                                void(boost::system::error_code)>
      Init{Yield};
  return boost::asio::get_associated_executor(Init.completion_handler);
}

/// @brief Starts an operation and suspends the coroutine until the operation
/// calls its callback. The callback must be called exactly once, from any
/// thread.
/// @tparam Result Argument of the callback; must be default constructible.
/// @param Yield Context of the coroutine.
/// @param Initiate Starts the operation; called immediately with the callback.
/// @return The argument of the callback.
template <typename Result, typename Initiation>
[[nodiscard]] Result await(boost::asio::yield_context Yield,
                           Initiation Initiate) {
  using Signature = void(boost::system::error_code, Result);
  boost::asio::async_completion<boost::asio::yield_context, Signature> Init{
      Yield};
  auto Handler =
      std::make_shared<std::decay_t<decltype(Init.completion_handler)>>(
          std::move(Init.completion_handler));
  Initiate([Handler](Result Value) {
    auto Executor = boost::asio::get_associated_executor(*Handler);
    boost::asio::post(Executor, [Handler, Value = std::move(Value)]() mutable {
      (*Handler)(boost::system::error_code{}, std::move(Value));
    });
  });
  return Init.result.get();
}

/// @brief Runs a function on another executor and suspends the coroutine until
/// it returns.
/// @param Executor The executor that runs the function.
/// @param Yield Context of the coroutine.
/// @param Function The function; it must not throw.
/// @return The result of the function.
template <typename Result, typename ExecutorType, typename FunctionType>
[[nodiscard]] Result callOn(const ExecutorType &Executor,
                            boost::asio::yield_context Yield,
                            FunctionType Function) {
  return await<Result>(Yield, [&](std::function<void(Result)> Done) {
    boost::asio::post(Executor, [Function, Done] { Done(Function()); });
  });
}

} // namespace goldcrestnotch
