/// @file
/// Ledger records as JSON arrays, name first.

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
    throw std::invalid_argument{"a holder is vm/incarnation"};
  }
  const auto Digits = Text.substr(Slash + 1);
  const auto *End = Digits.data() + Digits.size();
  const auto Parsed = std::from_chars(Digits.data(), End, Result.Incarnation);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End) {
    throw std::invalid_argument{"a holder's incarnation is a number"};
  }
  Result.Vm = VmId{std::string{Text.substr(0, Slash)}};
  return Result;
}

namespace internal {

/// @brief Writes each kind of item.
struct ItemWriter {
  json operator()(const Join &) const { return json::array({"join"}); }
  json operator()(const TopUp &I) const {
    return json::array({"topup", I.Pool.str(), I.Plan.str(), I.Amount.count()});
  }
  json operator()(const Capacity &I) const {
    return json::array({"capacity", I.Pool.str(), I.Version, I.Amount.count()});
  }
  json operator()(const Draw &I) const {
    return json::array({"draw", I.Pool.str(), I.Want.count(), I.Floor.count()});
  }
  json operator()(const Bill &I) const {
    return json::array({"bill", I.Pool.str(), I.Request.str(), I.Amount.count(),
                        I.Keyed ? 1 : 0,
                        I.Payer.Vm.empty() ? "" : I.Payer.str()});
  }
  json operator()(const Return &I) const {
    return json::array({"return", I.Pool.str(), I.Amount.count()});
  }
  json operator()(const Claim &I) const {
    return json::array({"claim", I.Key.str()});
  }
  json operator()(const Outcome &I) const {
    return json::array({"outcome", I.Key.str(), std::string{toString(I.Ran)},
                        I.Status, I.ContentType, I.Body});
  }
  json operator()(const Release &I) const {
    return json::array({"release", I.Key.str()});
  }
  json operator()(const Retire &I) const {
    return json::array({"retire", I.Dead.str()});
  }
  json operator()(const Settle &I) const {
    return json::array({"settle", I.Dead.str(), I.WriteOff ? 1 : 0});
  }
};

[[nodiscard]] static std::string text(const json &Row, std::size_t At) {
  return Row.at(At).get<std::string>();
}

[[nodiscard]] static Tokens amount(const json &Row, std::size_t At) {
  return Tokens{Row.at(At).get<std::int64_t>()};
}

[[nodiscard]] static Tokens natural(const json &Row, std::size_t At) {
  const auto Value = amount(Row, At);
  if (Value < Tokens{0}) {
    throw std::invalid_argument{"a ledger record holds a negative amount"};
  }
  return Value;
}

using ItemReader = Item (*)(const json &);

[[nodiscard]] static const std::map<std::string, ItemReader> &readers() {
  static const std::map<std::string, ItemReader> Table{
      {"join", [](const json &) -> Item { return Join{}; }},
      {"topup",
       [](const json &R) -> Item {
         return TopUp{PoolId{text(R, 1)}, PlanId{text(R, 2)}, amount(R, 3)};
       }},
      {"capacity",
       [](const json &R) -> Item {
         return Capacity{PoolId{text(R, 1)}, R.at(2).get<std::uint64_t>(),
                         natural(R, 3)};
       }},
      {"draw",
       [](const json &R) -> Item {
         return Draw{PoolId{text(R, 1)}, natural(R, 2), natural(R, 3)};
       }},
      {"bill",
       [](const json &R) -> Item {
         const auto Payer = text(R, 5);
         return Bill{PoolId{text(R, 1)}, RequestId{text(R, 2)}, natural(R, 3),
                     R.at(4).get<int>() != 0,
                     Payer.empty() ? HolderId{} : HolderId::parse(Payer)};
       }},
      {"return",
       [](const json &R) -> Item {
         return Return{PoolId{text(R, 1)}, natural(R, 2)};
       }},
      {"claim",
       [](const json &R) -> Item { return Claim{RequestId{text(R, 1)}}; }},
      {"outcome",
       [](const json &R) -> Item {
         return Outcome{RequestId{text(R, 1)}, verdictOf(text(R, 2)),
                        R.at(3).get<int>(), text(R, 4), text(R, 5)};
       }},
      {"release",
       [](const json &R) -> Item { return Release{RequestId{text(R, 1)}}; }},
      {"retire",
       [](const json &R) -> Item {
         return Retire{HolderId::parse(text(R, 1))};
       }},
      {"settle",
       [](const json &R) -> Item {
         return Settle{HolderId::parse(text(R, 1)), R.at(2).get<int>() != 0};
       }},
  };
  return Table;
}

} // namespace internal

std::string encode(const Batch &Source) {
  json Items = json::array();
  for (const auto &One : Source.Items) {
    Items.push_back(std::visit(internal::ItemWriter{}, One));
  }
  const json Whole{
      {"h", Source.Holder.str()}, {"q", Source.Sequence}, {"i", Items}};
  return Whole.dump(-1, ' ', false, json::error_handler_t::replace);
}

Batch decodeBatch(std::string_view Text) {
  try {
    const auto Whole = json::parse(Text);
    Batch Result;
    Result.Holder = HolderId::parse(Whole.at("h").get<std::string>());
    Result.Sequence = Whole.at("q").get<std::uint64_t>();
    for (const auto &Row : Whole.at("i")) {
      const auto Reader = internal::readers().find(internal::text(Row, 0));
      if (Reader == internal::readers().end()) {
        throw std::invalid_argument{"a ledger record of unknown kind"};
      }
      Result.Items.push_back(Reader->second(Row));
    }
    return Result;
  } catch (const json::exception &Failure) {
    throw std::invalid_argument{Failure.what()};
  }
}

} // namespace goldcrestnotch
