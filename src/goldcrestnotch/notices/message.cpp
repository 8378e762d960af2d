/// @file
/// CBOR encoding and decoding of notices. Each one is an array that begins with
/// its kind.

#include "goldcrestnotch/notices/message.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "goldcrestnotch/core/bounded_cbor.hpp"

namespace goldcrestnotch::notices {

using nlohmann::json;

namespace internal {

enum class Kind : std::uint64_t {
  ViewRequest = 1,
  ViewResponse = 2,
  Crash = 3,
  Clearance = 4,
  Leaving = 5,
  Full = 6
};

/// A stated age is bounded, so that differences of times can't overflow.
static constexpr std::uint64_t MaxAgeMs = 3'600'000;

/// @brief A position, as its offset alone if the store states no era: so VMs
/// that know of no eras understand it.
[[nodiscard]] static json toJson(const store::Position &Source) {
  return Source.Era == 0 ? json(Source.Offset)
                         : json{Source.Era, Source.Offset};
}

[[nodiscard]] static json toJson(const ViewRequest &Source) {
  return {Kind::ViewRequest, Source.Nonce, toJson(Source.OperatorEnd),
          toJson(Source.TargetsEnd)};
}

[[nodiscard]] static std::uint64_t ageJson(Millis Age) {
  return static_cast<std::uint64_t>(std::clamp<std::int64_t>(
      Age.count(), 0, static_cast<std::int64_t>(MaxAgeMs)));
}

[[nodiscard]] static json toJson(const PartitionView &Source) {
  return {toJson(Source.End), ageJson(Source.ProofAge)};
}

[[nodiscard]] static json toJson(const ViewResponse &Source) {
  return {Kind::ViewResponse,     Source.Nonce,   toJson(Source.Operator),
          toJson(Source.Targets), Source.Leaving, Source.Deleted,
          Source.Complete};
}

/// @brief The hashes of suspects, as many as fit into a message.
[[nodiscard]] static json
toJson(const std::vector<quarantine::CrashSuspect> &Suspects) {
  json Result = json::array();
  for (const auto &Suspected : Suspects) {
    if (Result.size() < MaxSuspects) {
      Result.push_back(Suspected.Hash);
    }
  }
  return Result;
}

[[nodiscard]] static json toJson(const CrashNotice &Source) {
  return {Kind::Crash,
          Source.Ended.NameHash,
          Source.Ended.Incarnation,
          toJson(Source.Suspects),
          ageJson(Source.Age),
          Source.Evidence == quarantine::CrashEvidence::Weak};
}

[[nodiscard]] static json toJson(const ClearanceNotice &Source) {
  return {Kind::Clearance, toJson(Source.Suspects)};
}

[[nodiscard]] static json toJson(const LeavingNotice &Source) {
  return {Kind::Leaving, Source.Run.NameHash, Source.Run.Incarnation};
}

[[nodiscard]] static json toJson(const FullNotice &Source) {
  return {Kind::Full, Source.Run.NameHash, Source.Run.Incarnation,
          ageJson(Source.Pause)};
}

/// @throws json::exception if the value is no unsigned integer.
[[nodiscard]] static std::uint64_t unsignedOf(const json &Value) {
  return Value.get_ref<const json::number_unsigned_t &>();
}

[[nodiscard]] static Millis ageOf(const json &Value) {
  return Millis{
      static_cast<std::int64_t>(std::min(unsignedOf(Value), MaxAgeMs))};
}

[[nodiscard]] static store::Position positionOf(const json &Value) {
  if (Value.is_array()) {
    return {unsignedOf(Value.at(0)), unsignedOf(Value.at(1))};
  }
  return {0, unsignedOf(Value)};
}

[[nodiscard]] static PartitionView viewOf(const json &Value) {
  return {positionOf(Value.at(0)), ageOf(Value.at(1))};
}

[[nodiscard]] static std::vector<std::uint64_t> hashesOf(const json &Value) {
  std::vector<std::uint64_t> Result;
  for (const auto &Item : Value) {
    Result.push_back(unsignedOf(Item));
  }
  return Result;
}

[[nodiscard]] static std::vector<quarantine::CrashSuspect>
suspectsOf(const json &Value) {
  std::vector<quarantine::CrashSuspect> Result;
  for (const auto Hash : hashesOf(Value)) {
    Result.push_back({Hash});
  }
  return Result;
}

/// @brief What a crash notice says of its suspects. VMs of earlier versions
/// report only responses that had begun.
[[nodiscard]] static quarantine::CrashEvidence evidenceOf(const json &Crash) {
  constexpr std::size_t WeakField = 5;
  return Crash.size() > WeakField && Crash.at(WeakField).get<bool>()
             ? quarantine::CrashEvidence::Weak
             : quarantine::CrashEvidence::Strong;
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
    case internal::Kind::ViewRequest:
      return ViewRequest{internal::unsignedOf(Document.at(1)),
                         internal::positionOf(Document.at(2)),
                         internal::positionOf(Document.at(3))};
    case internal::Kind::ViewResponse:
      return ViewResponse{internal::unsignedOf(Document.at(1)),
                          internal::viewOf(Document.at(2)),
                          internal::viewOf(Document.at(3)),
                          internal::hashesOf(Document.at(4)),
                          internal::hashesOf(Document.at(5)),
                          Document.at(6).get<bool>()};
    case internal::Kind::Crash:
      return CrashNotice{{internal::unsignedOf(Document.at(1)),
                          internal::unsignedOf(Document.at(2))},
                         internal::suspectsOf(Document.at(3)),
                         internal::ageOf(Document.at(4)),
                         internal::evidenceOf(Document)};
    case internal::Kind::Clearance:
      return ClearanceNotice{internal::suspectsOf(Document.at(1))};
    case internal::Kind::Leaving:
      return LeavingNotice{{internal::unsignedOf(Document.at(1)),
                            internal::unsignedOf(Document.at(2))}};
    case internal::Kind::Full:
      return FullNotice{{internal::unsignedOf(Document.at(1)),
                         internal::unsignedOf(Document.at(2))},
                        internal::ageOf(Document.at(3))};
    }
  } catch (const json::exception &) {
    return std::nullopt; // The caller counts what it can't read.
  }
  return std::nullopt;
}

} // namespace goldcrestnotch::notices
