/// @file
/// Records as CBOR.

#include "goldcrestnotch/escrow/record.hpp"

#include <nlohmann/json.hpp>

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
                            One.InDoubt.count(), One.Wanted.count(),
                            One.Rate.count()};
  }
  const json Whole{{"n", Source.Sequence},
                   {"c", Source.Control},
                   {"a", std::move(Accounts)}};
  const auto Bytes = json::to_cbor(Whole);
  return {Bytes.begin(), Bytes.end()};
}

std::optional<HolderRecord> decodeRecord(std::string_view Bytes) {
  try {
    const auto Whole = json::from_cbor(Bytes.begin(), Bytes.end());
    HolderRecord Result;
    Result.Sequence = Whole.at("n").get<std::uint64_t>();
    Result.Control = Whole.at("c").get<std::string>();
    for (const auto &[Name, One] : Whole.at("a").items()) {
      const auto At = [&One = One](std::size_t I) {
        return Tokens{One.at(I).template get<std::int64_t>()};
      };
      Result.Accounts[WorkspaceId{Name}] = {At(0), At(1), At(2), At(3), At(4)};
    }
    return Result;
  } catch (const json::exception &) {
    return std::nullopt; // The caller logs the key.
  }
}

} // namespace goldcrestnotch::escrow
