/// @file
/// Member records as CBOR.

#include "goldcrestnotch/roster/member_record.hpp"

#include <nlohmann/json.hpp>

#include "goldcrestnotch/rollout/counts_codec.hpp"

namespace goldcrestnotch::roster {

using nlohmann::json;

std::string encode(const MemberRecord &Source) {
  json Moves = json::object();
  for (const auto &[Service, One] : Source.Moves) {
    Moves[Service] = {One.To.str(),
                      goldcrestnotch::internal::countsJson(One.Old),
                      goldcrestnotch::internal::countsJson(One.New)};
  }
  const json Whole{{"b", Source.Incarnation}, {"n", Source.Sequence},
                   {"e", Source.Entry},       {"c", Source.Control},
                   {"p", Source.Power},       {"l", Source.Leaving},
                   {"m", std::move(Moves)}};
  const auto Bytes = json::to_cbor(Whole);
  return {Bytes.begin(), Bytes.end()};
}

std::optional<MemberRecord> decodeMember(std::string_view Bytes) {
  try {
    const auto Whole = json::from_cbor(Bytes.begin(), Bytes.end());
    MemberRecord Result;
    Result.Incarnation = Whole.at("b").get<std::string>();
    Result.Sequence = Whole.at("n").get<std::uint64_t>();
    Result.Entry = Whole.at("e").get<std::string>();
    Result.Control = Whole.at("c").get<std::string>();
    Result.Power = Whole.at("p").get<std::uint32_t>();
    Result.Leaving = Whole.at("l").get<bool>();
    for (const auto &[Service, One] : Whole.at("m").items()) {
      Result.Moves[Service] = {VersionId{One.at(0).get<std::string>()},
                               goldcrestnotch::internal::countsOf(One.at(1)),
                               goldcrestnotch::internal::countsOf(One.at(2))};
    }
    return Result;
  } catch (const json::exception &) {
    return std::nullopt; // The caller logs the key.
  }
}

} // namespace goldcrestnotch::roster
