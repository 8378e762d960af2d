/// @file
/// Lets a coroutine wait for an answer that comes by callback from another
/// thread.

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

/// @brief Where a coroutine runs. The yield context itself has no associated
/// executor in Boost 1.74; asking it gives the system's own threads.
[[nodiscard]] inline auto executorOf(boost::asio::yield_context Yield) {
  boost::asio::async_completion<boost::asio::yield_context,
                                void(boost::system::error_code)>
      Init{Yield};
  return boost::asio::get_associated_executor(Init.completion_handler);
}

/// @brief Suspends the coroutine until the callback is called, once, from any
/// thread.
/// @tparam Result What the callback is given; default constructible.
/// @param Begin Called at once with the callback.
template <typename Result, typename Begin>
[[nodiscard]] Result await(boost::asio::yield_context Yield, Begin Start) {
  using Signature = void(boost::system::error_code, Result);
  boost::asio::async_completion<boost::asio::yield_context, Signature> Init{
      Yield};
  auto Handler =
      std::make_shared<std::decay_t<decltype(Init.completion_handler)>>(
          std::move(Init.completion_handler));
  Start([Handler](Result Value) {
    auto Where = boost::asio::get_associated_executor(*Handler);
    boost::asio::post(Where, [Handler, Value = std::move(Value)]() mutable {
      (*Handler)(boost::system::error_code{}, std::move(Value));
    });
  });
  return Init.result.get();
}

/// @brief Runs a function on another executor and waits for its result.
template <typename Result, typename Executor, typename Function>
[[nodiscard]] Result callOn(const Executor &Where,
                            boost::asio::yield_context Yield, Function What) {
  return await<Result>(Yield, [&](std::function<void(Result)> Done) {
    boost::asio::post(Where, [What, Done] { Done(What()); });
  });
}

} // namespace goldcrestnotch
