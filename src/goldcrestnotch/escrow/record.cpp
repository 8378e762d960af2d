/// @file
/// Records as CBOR.

#include "goldcrestnotch/escrow/record.hpp"

#include <nlohmann/json.hpp>

#include "goldcrestnotch/rollout/counts_codec.hpp"

namespace goldcrestnotch::escrow {

using nlohmann::json;

std::optional<HolderName> HolderName::parse(std::string_view Text) {
  const auto Slash = Text.rfind('/');
  if (Slash == std::string_view::npos || Slash == 0) {
    return std::nullopt;
  }
  return HolderName{std::string{Text.substr(0, Slash)},
                    std::string{Text.substr(Slash + 1)}};
}

std::string encode(const HolderRecord &Source) {
  json Accounts = json::object();
  for (const auto &[Name, One] : Source.Accounts) {
    Accounts[Name.str()] = {One.Drawn.count(), One.Spent.count(),
                            One.Doubt.count(), One.Wanted.count(),
                            One.Rate.count()};
  }
  json Moves = json::object();
  for (const auto &[Service, One] : Source.Moves) {
    Moves[Service] = {One.To.str(), internal::countsJson(One.Old),
                      internal::countsJson(One.New)};
  }
  const json Whole{{"n", Source.Sequence},     {"e", Source.Entry},
                   {"c", Source.Control},      {"l", Source.Leaving},
                   {"a", std::move(Accounts)}, {"m", std::move(Moves)}};
  const auto Bytes = json::to_cbor(Whole);
  return {Bytes.begin(), Bytes.end()};
}

std::optional<HolderRecord> decodeRecord(std::string_view Bytes) {
  try {
    const auto Whole = json::from_cbor(Bytes.begin(), Bytes.end());
    HolderRecord Result;
    Result.Sequence = Whole.at("n").get<std::uint64_t>();
    Result.Entry = Whole.at("e").get<std::string>();
    Result.Control = Whole.at("c").get<std::string>();
    Result.Leaving = Whole.at("l").get<bool>();
    for (const auto &[Name, One] : Whole.at("a").items()) {
      const auto At = [&One = One](std::size_t I) {
        return Tokens{One.at(I).template get<std::int64_t>()};
      };
      Result.Accounts[WorkspaceId{Name}] = {At(0), At(1), At(2), At(3), At(4)};
    }
    for (const auto &[Service, One] : Whole.at("m").items()) {
      Result.Moves[Service] = {VersionId{One.at(0).get<std::string>()},
                               internal::countsOf(One.at(1)),
                               internal::countsOf(One.at(2))};
    }
    return Result;
  } catch (const json::exception &) {
    return std::nullopt; // The caller logs the key.
  }
}

} // namespace goldcrestnotch::escrow
