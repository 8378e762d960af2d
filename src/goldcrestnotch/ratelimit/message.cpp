/// @file
/// CBOR encoding and decoding of the messages about rate limits. Each one is an
/// array that begins with its kind.

#include "goldcrestnotch/ratelimit/message.hpp"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

#include "goldcrestnotch/core/bounded_cbor.hpp"

namespace goldcrestnotch::ratelimit {

using nlohmann::json;

namespace internal {

enum class Kind : std::uint64_t { Request = 1, Response = 2, Notice = 3 };

[[nodiscard]] static json toJson(const PermitRequest &Source) {
  return {Kind::Request, Source.Nonce, Source.TargetHash,
          Source.Limit.perSecond(),
          static_cast<std::uint64_t>(Source.MaxWait.count())};
}

[[nodiscard]] static json toJson(const PermitResponse &Source) {
  return {Kind::Response, Source.Nonce, Source.Result.Granted,
          static_cast<std::uint64_t>(Source.Result.Wait.count())};
}

[[nodiscard]] static json toJson(const LimitNotice &Source) {
  return {Kind::Notice, Source.TargetHash,
          Source.Limit ? Source.Limit->perSecond() : 0.0};
}

/// @brief Reads a limit; zero stands for none.
/// @throws json::exception if the value is no number.
[[nodiscard]] static std::optional<RequestRate> limitOf(const json &Value) {
  const auto PerSecond = Value.get<double>();
  return std::isfinite(PerSecond) && PerSecond > 0
             ? std::optional{RequestRate{PerSecond}}
             : std::nullopt;
}

/// @throws json::exception if the value is no unsigned integer.
[[nodiscard]] static std::uint64_t unsignedOf(const json &Value) {
  return Value.get_ref<const json::number_unsigned_t &>();
}

/// @throws json::exception if the value is no unsigned integer.
[[nodiscard]] static Millis millisOf(const json &Value) {
  // A delay that a datagram states is bounded, so that sums can't overflow.
  constexpr std::uint64_t MaxMillis = 60'000;
  return Millis{
      static_cast<std::int64_t>(std::min(unsignedOf(Value), MaxMillis))};
}

} // namespace internal

std::string encode(const Message &Source) {
  const auto Bytes = json::to_cbor(std::visit(
      [](const auto &Content) { return internal::toJson(Content); }, Source));
  return {Bytes.begin(), Bytes.end()};
}

std::optional<Message> decodeMessage(std::span<const unsigned char> Bytes) {
  try {
    const auto Document = decodeCbor(
        {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()});
    switch (static_cast<internal::Kind>(internal::unsignedOf(Document.at(0)))) {
    case internal::Kind::Request: {
      const auto Limit = internal::limitOf(Document.at(3));
      if (!Limit) {
        return std::nullopt;
      }
      return PermitRequest{internal::unsignedOf(Document.at(1)),
                           internal::unsignedOf(Document.at(2)), *Limit,
                           internal::millisOf(Document.at(4))};
    }
    case internal::Kind::Response:
      return PermitResponse{
          internal::unsignedOf(Document.at(1)),
          {Document.at(2).get<bool>(), internal::millisOf(Document.at(3))}};
    case internal::Kind::Notice:
      return LimitNotice{internal::unsignedOf(Document.at(1)),
                         internal::limitOf(Document.at(2))};
    }
  } catch (const json::exception &) {
    return std::nullopt; // The caller counts what it can't read.
  }
  return std::nullopt;
}

} // namespace goldcrestnotch::ratelimit
