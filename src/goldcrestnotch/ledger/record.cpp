/// @file
/// Serializes each ledger item as a JSON array that begins with its kind.

#include "goldcrestnotch/ledger/record.hpp"

#include <charconv>
#include <map>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace goldcrestnotch {

using nlohmann::json;

std::string HolderId::str() const {
  return Vm.str() + "/" + std::to_string(Incarnation);
}

HolderId HolderId::parse(std::string_view Text) {
  const auto Slash = Text.rfind('/');
  HolderId Result;
  if (Slash == std::string_view::npos || Slash == 0) {
    throw std::invalid_argument{"holder id is not of the form vm/incarnation"};
  }
  const auto Digits = Text.substr(Slash + 1);
  const auto *End = Digits.data() + Digits.size();
  const auto Parsed = std::from_chars(Digits.data(), End, Result.Incarnation);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End) {
    throw std::invalid_argument{
        "incarnation of a holder id is not an unsigned number"};
  }
  Result.Vm = VmId{std::string{Text.substr(0, Slash)}};
  return Result;
}

namespace internal {

/// @brief Serializes an item by its kind.
struct ItemWriter {
  json operator()(const Join &) const { return json::array({"join"}); }
  json operator()(const TopUp &Entry) const {
    return json::array(
        {"topup", Entry.Pool.str(), Entry.Plan.str(), Entry.Amount.count()});
  }
  json operator()(const Capacity &Entry) const {
    return json::array(
        {"capacity", Entry.Pool.str(), Entry.Version, Entry.Amount.count()});
  }
  json operator()(const Draw &Entry) const {
    return json::array({"draw", Entry.Pool.str(), Entry.Requested.count(),
                        Entry.Minimum.count()});
  }
  json operator()(const Bill &Entry) const {
    return json::array({"bill", Entry.Pool.str(), Entry.Request.str(),
                        Entry.Amount.count(), Entry.Keyed ? 1 : 0,
                        Entry.Payer.Vm.empty() ? "" : Entry.Payer.str()});
  }
  json operator()(const Return &Entry) const {
    return json::array({"return", Entry.Pool.str(), Entry.Amount.count()});
  }
  json operator()(const Claim &Entry) const {
    return json::array({"claim", Entry.Key.str()});
  }
  json operator()(const Outcome &Entry) const {
    return json::array({"outcome", Entry.Key.str(),
                        std::string{toString(Entry.Ran)}, Entry.Status,
                        Entry.ContentType, Entry.Body});
  }
  json operator()(const Release &Entry) const {
    return json::array({"release", Entry.Key.str()});
  }
  json operator()(const Retire &Entry) const {
    return json::array({"retire", Entry.Dead.str()});
  }
  json operator()(const Settle &Entry) const {
    return json::array({"settle", Entry.Dead.str(), Entry.WriteOff ? 1 : 0});
  }
};

[[nodiscard]] static std::string text(const json &Row, std::size_t Index) {
  return Row.at(Index).get<std::string>();
}

[[nodiscard]] static Tokens amount(const json &Row, std::size_t Index) {
  return Tokens{Row.at(Index).get<std::int64_t>()};
}

[[nodiscard]] static Tokens nonNegativeAmount(const json &Row,
                                              std::size_t Index) {
  const auto Value = amount(Row, Index);
  if (Value < Tokens{0}) {
    throw std::invalid_argument{"ledger record has a negative amount"};
  }
  return Value;
}

using ItemReader = Item (*)(const json &);

[[nodiscard]] static const std::map<std::string, ItemReader> &readers() {
  static const std::map<std::string, ItemReader> Table{
      {"join", [](const json &) -> Item { return Join{}; }},
      {"topup",
       [](const json &Row) -> Item {
         return TopUp{PoolId{text(Row, 1)}, PlanId{text(Row, 2)},
                      amount(Row, 3)};
       }},
      {"capacity",
       [](const json &Row) -> Item {
         return Capacity{PoolId{text(Row, 1)}, Row.at(2).get<std::uint64_t>(),
                         nonNegativeAmount(Row, 3)};
       }},
      {"draw",
       [](const json &Row) -> Item {
         return Draw{PoolId{text(Row, 1)}, nonNegativeAmount(Row, 2),
                     nonNegativeAmount(Row, 3)};
       }},
      {"bill",
       [](const json &Row) -> Item {
         const auto Payer = text(Row, 5);
         return Bill{PoolId{text(Row, 1)}, RequestId{text(Row, 2)},
                     nonNegativeAmount(Row, 3), Row.at(4).get<int>() != 0,
                     Payer.empty() ? HolderId{} : HolderId::parse(Payer)};
       }},
      {"return",
       [](const json &Row) -> Item {
         return Return{PoolId{text(Row, 1)}, nonNegativeAmount(Row, 2)};
       }},
      {"claim",
       [](const json &Row) -> Item { return Claim{RequestId{text(Row, 1)}}; }},
      {"outcome",
       [](const json &Row) -> Item {
         return Outcome{RequestId{text(Row, 1)}, verdictOf(text(Row, 2)),
                        Row.at(3).get<int>(), text(Row, 4), text(Row, 5)};
       }},
      {"release",
       [](const json &Row) -> Item {
         return Release{RequestId{text(Row, 1)}};
       }},
      {"retire",
       [](const json &Row) -> Item {
         return Retire{HolderId::parse(text(Row, 1))};
       }},
      {"settle",
       [](const json &Row) -> Item {
         return Settle{HolderId::parse(text(Row, 1)),
                       Row.at(2).get<int>() != 0};
       }},
  };
  return Table;
}

} // namespace internal

std::string encode(const Batch &Source) {
  json Items = json::array();
  for (const auto &Entry : Source.Items) {
    Items.push_back(std::visit(internal::ItemWriter{}, Entry));
  }
  const json Document{
      {"h", Source.Holder.str()}, {"q", Source.Sequence}, {"i", Items}};
  return Document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Batch decodeBatch(std::string_view Text) {
  try {
    const auto Document = json::parse(Text);
    Batch Result;
    Result.Holder = HolderId::parse(Document.at("h").get<std::string>());
    Result.Sequence = Document.at("q").get<std::uint64_t>();
    for (const auto &Row : Document.at("i")) {
      const auto Reader = internal::readers().find(internal::text(Row, 0));
      if (Reader == internal::readers().end()) {
        throw std::invalid_argument{"ledger record has an unknown kind"};
      }
      Result.Items.push_back(Reader->second(Row));
    }
    return Result;
  } catch (const json::exception &Failure) {
    throw std::invalid_argument{Failure.what()};
  }
}

} // namespace goldcrestnotch
