/// @file
/// CBOR encoding and decoding of member records.

#include "goldcrestnotch/roster/member_record.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "goldcrestnotch/core/bounded_cbor.hpp"
#include "goldcrestnotch/core/instant.hpp"
#include "goldcrestnotch/http/endpoint_text.hpp"
#include "goldcrestnotch/rollout/counts_codec.hpp"

namespace goldcrestnotch::roster {

using nlohmann::json;

std::string encode(const MemberRecord &Source) {
  json Moves = json::object();
  for (const auto &[Service, Evidence] : Source.Moves) {
    Moves[Service] = {Evidence.To.str(),
                      goldcrestnotch::internal::countsJson(Evidence.Old),
                      goldcrestnotch::internal::countsJson(Evidence.New)};
  }
  json Quarantined = json::array();
  for (const auto &Part : Source.Quarantined) {
    Quarantined.push_back({Part.Hash, Part.RemainingMs});
  }
  json Document{{"b", Source.Incarnation},   {"n", Source.Sequence},
                {"e", Source.CallerAddress}, {"c", Source.ControlAddress},
                {"p", Source.CpuShare},      {"l", Source.Leaving},
                {"m", std::move(Moves)}};
  if (Source.CutOff) {
    Document["x"] = true;
  }
  if (!Quarantined.empty()) {
    Document["q"] = std::move(Quarantined);
  }
  const auto Bytes = json::to_cbor(Document);
  return {Bytes.begin(), Bytes.end()};
}

std::optional<MemberRecord> decodeMember(std::string_view Bytes) {
  try {
    const auto Document = decodeCbor(Bytes);
    MemberRecord Result;
    Result.Incarnation = Document.at("b").get<std::string>();
    Result.Sequence = Document.at("n").get<std::uint64_t>();
    Result.CallerAddress = Document.at("e").get<std::string>();
    Result.ControlAddress = Document.at("c").get<std::string>();
    if (!http::readEndpoint(Result.CallerAddress) ||
        !http::readEndpoint(Result.ControlAddress)) {
      return std::nullopt;
    }
    Result.CpuShare = Document.at("p").get<std::uint32_t>();
    Result.Leaving = Document.at("l").get<bool>();
    Result.CutOff = Document.value("x", false); // Optional.
    for (const auto &[Service, Evidence] : Document.at("m").items()) {
      Result.Moves[Service] = {
          VersionId{Evidence.at(0).get<std::string>()},
          goldcrestnotch::internal::countsOf(Evidence.at(1)),
          goldcrestnotch::internal::countsOf(Evidence.at(2))};
    }
    if (const auto It = Document.find("q"); It != Document.end()) {
      for (const auto &Part : *It) {
        Result.Quarantined.push_back(
            {Part.at(0).get<std::uint64_t>(),
             std::clamp<std::int64_t>(Part.at(1).get<std::int64_t>(), 0,
                                      MaxStatedTime.count())});
      }
    }
    return Result;
  } catch (const json::exception &) {
    return std::nullopt; // The caller logs the key of the record.
  }
}

} // namespace goldcrestnotch::roster
