/// @file
/// Bounds the memory that the messages of all callers and targets take
/// together.

#pragma once

#include <cstddef>

namespace goldcrestnotch::proxy {

/// @brief The bytes of messages that a VM holds at a time. The limits on single
/// messages don't bound their sum: a few hundred callers that send long bodies
/// slowly would exhaust the memory of a VM.
///
/// Invariant: `used` is the sum of all shares.
class BufferBudget {
public:
  /// A message up to this size is always held, so that long messages never keep
  /// out short ones. The number of connections bounds their sum.
  static constexpr std::size_t FreeBytes = 16U << 10U;

  explicit BufferBudget(std::size_t MaxBytes) noexcept : MaxBytes{MaxBytes} {}
  BufferBudget(const BufferBudget &) = delete;
  BufferBudget &operator=(const BufferBudget &) = delete;

  [[nodiscard]] std::size_t used() const noexcept { return Used; }

  /// @brief The part of the budget that one message has.
  class Share {
  public:
    explicit Share(BufferBudget &Budget) noexcept : Budget{Budget} {}
    ~Share() { Budget.Used -= Bytes; }
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// @brief Changes the size of the message.
    /// @return Whether the budget allows it; if not, the share is as before.
    [[nodiscard]] bool resize(std::size_t MessageBytes) noexcept {
      const auto Wanted = MessageBytes > FreeBytes ? MessageBytes : 0;
      if (Wanted > Bytes && Budget.Used - Bytes + Wanted > Budget.MaxBytes) {
        return false;
      }
      Budget.Used = Budget.Used - Bytes + Wanted;
      Bytes = Wanted;
      return true;
    }

  private:
    BufferBudget &Budget;
    std::size_t Bytes = 0;
  };

private:
  std::size_t MaxBytes;
  std::size_t Used = 0;
};

} // namespace goldcrestnotch::proxy
