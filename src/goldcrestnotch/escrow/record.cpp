/// @file
/// CBOR encoding and decoding of holder records.

#include "goldcrestnotch/escrow/record.hpp"

#include <nlohmann/json.hpp>

#include "goldcrestnotch/core/bounded_cbor.hpp"
#include "goldcrestnotch/http/endpoint_text.hpp"

namespace goldcrestnotch::escrow {

using nlohmann::json;

namespace internal {

[[nodiscard]] static bool isPossible(Tokens Amount) noexcept {
  return Amount <= MaxTokens && Tokens{} - Amount <= MaxTokens;
}

} // namespace internal

bool isPossible(const Account &Source) noexcept {
  return internal::isPossible(Source.Drawn) &&
         internal::isPossible(Source.Spent) &&
         internal::isPossible(Source.InDoubt) &&
         internal::isPossible(Source.Wanted) &&
         internal::isPossible(Source.Rate);
}

std::optional<Account> countable(const Account &Source) noexcept {
  if (isPossible(Source)) {
    return Source;
  }
  if (!internal::isPossible(Source.Drawn)) {
    return std::nullopt;
  }
  return Account{Source.Drawn, Source.Drawn, Source.Drawn, {}, {}};
}

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
  for (const auto &[Workspace, Entry] : Source.Accounts) {
    Accounts[Workspace.str()] = {Entry.Drawn.count(), Entry.Spent.count(),
                                 Entry.InDoubt.count(), Entry.Wanted.count(),
                                 Entry.Rate.count()};
  }
  json Document{{"n", Source.Sequence},
                {"c", Source.ControlAddress},
                {"a", std::move(Accounts)}};
  if (!Source.Replaced.empty()) {
    Document["t"] = Source.Replaced;
  }
  if (Source.Era) {
    Document["e"] = *Source.Era;
  }
  const auto Bytes = json::to_cbor(Document);
  return {Bytes.begin(), Bytes.end()};
}

std::optional<HolderRecord> decodeRecord(std::string_view Bytes) {
  try {
    const auto Document = decodeCbor(Bytes);
    HolderRecord Result;
    Result.Sequence = Document.at("n").get<std::uint64_t>();
    Result.ControlAddress = Document.at("c").get<std::string>();
    if (!http::readEndpoint(Result.ControlAddress)) {
      // Nobody can be asked there, but the tokens count as drawn.
      Result.ControlAddress.clear();
    }
    for (const auto &[Workspace, Entry] : Document.at("a").items()) {
      const auto Field = [&Entry = Entry](std::size_t I) {
        return Tokens{Entry.at(I).template get<std::int64_t>()};
      };
      Result.Accounts[WorkspaceId{Workspace}] = {Field(0), Field(1), Field(2),
                                                 Field(3), Field(4)};
    }
    if (const auto Names = Document.find("t"); Names != Document.end()) {
      Result.Replaced = Names->get<std::vector<std::string>>();
    }
    if (const auto Era = Document.find("e"); Era != Document.end()) {
      Result.Era = Era->get<std::uint64_t>();
    }
    return Result;
  } catch (const json::exception &) {
    return std::nullopt; // The caller logs the key of the record.
  }
}

} // namespace goldcrestnotch::escrow
