/// @file
/// Serializes a ledger state as JSON for snapshots.

#include <stdexcept>

#include <nlohmann/json.hpp>

#include "goldcrestnotch/ledger/ledger_state.hpp"

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

[[nodiscard]] static std::int64_t millis(LogTime When) {
  return When.time_since_epoch().count();
}

[[nodiscard]] static LogTime logTime(const json &Value) {
  return LogTime{Millis{Value.get<std::int64_t>()}};
}

[[nodiscard]] static json save(const std::map<HolderId, Tokens> &Amounts) {
  json Result = json::object();
  for (const auto &[Holder, Amount] : Amounts) {
    Result[Holder.str()] = Amount.count();
  }
  return Result;
}

[[nodiscard]] static std::map<HolderId, Tokens>
loadAmounts(const json &Source) {
  std::map<HolderId, Tokens> Result;
  for (const auto &[Name, Amount] : Source.items()) {
    Result.emplace(HolderId::parse(Name), Tokens{Amount.get<std::int64_t>()});
  }
  return Result;
}

[[nodiscard]] static json save(const Pool &Source) {
  json Draws = json::array();
  for (const auto &Pending : Source.PendingDraws) {
    Draws.push_back({Pending.Holder.str(), Pending.Requested.count(),
                     Pending.Minimum.count()});
  }
  return {{"t", Source.Total.count()},
          {"v", Source.Version},
          {"b", Source.Billed.count()},
          {"w", Source.WrittenOff.count()},
          {"g", save(Source.Granted)},
          {"d", save(Source.Unsettled)},
          {"s", Draws}};
}

[[nodiscard]] static Pool loadPool(const json &Source) {
  Pool Result;
  Result.Total = Tokens{Source.at("t").get<std::int64_t>()};
  Result.Version = Source.at("v").get<std::uint64_t>();
  Result.Billed = Tokens{Source.at("b").get<std::int64_t>()};
  Result.WrittenOff = Tokens{Source.at("w").get<std::int64_t>()};
  Result.Granted = loadAmounts(Source.at("g"));
  Result.Unsettled = loadAmounts(Source.at("d"));
  for (const auto &Row : Source.at("s")) {
    Result.PendingDraws.push_back(
        {HolderId::parse(Row.at(0).get<std::string>()),
         Tokens{Row.at(1).get<std::int64_t>()},
         Tokens{Row.at(2).get<std::int64_t>()}});
  }
  return Result;
}

[[nodiscard]] static json save(const RequestId &Key, const ClaimState &Source) {
  json Result{{"k", Key.str()},
              {"h", Source.Holder.str()},
              {"t", millis(Source.ClaimedAt)}};
  if (Source.End) {
    Result["e"] = {std::string{toString(Source.End->Ran)}, Source.End->Status,
                   Source.End->ContentType, Source.End->Body};
  }
  return Result;
}

[[nodiscard]] static ClaimState loadClaim(const json &Source) {
  ClaimState Result{HolderId::parse(Source.at("h").get<std::string>()),
                    logTime(Source.at("t")),
                    {}};
  if (Source.contains("e")) {
    const auto &End = Source.at("e");
    Result.End =
        Outcome{RequestId{Source.at("k").get<std::string>()},
                verdictOf(End.at(0).get<std::string>()), End.at(1).get<int>(),
                End.at(2).get<std::string>(), End.at(3).get<std::string>()};
  }
  return Result;
}

} // namespace internal

/// @brief Accesses the private members of a ledger state for `save` and `load`.
struct LedgerStateCodec {
  using BilledRequests = std::deque<LedgerState::BilledRequest>;

  [[nodiscard]] static json save(const BilledRequests &Source) {
    json Result = json::array();
    for (const auto &Bill : Source) {
      Result.push_back({internal::millis(Bill.When), Bill.Hash});
    }
    return Result;
  }

  [[nodiscard]] static BilledRequests loadBills(const json &Source,
                                                LedgerState &State) {
    BilledRequests Result;
    for (const auto &Row : Source) {
      Result.push_back(
          {internal::logTime(Row.at(0)), Row.at(1).get<std::uint64_t>()});
      State.BilledHashes.insert(Result.back().Hash);
    }
    return Result;
  }

  [[nodiscard]] static json save(const LedgerState &Source) {
    json Result{{"next", Source.Next},
                {"time", internal::millis(Source.Time)},
                {"keyed", save(Source.KeyedBills)},
                {"unkeyed", save(Source.UnkeyedBills)}};
    for (const auto &[Name, Balance] : Source.Pools) {
      Result["pools"][Name.str()] = internal::save(Balance);
    }
    for (const auto &[When, Key] : Source.ClaimsByAge) {
      Result["claims"].push_back(internal::save(Key, Source.Claims.at(Key)));
    }
    for (const auto &[Vm, Incarnation] : Source.Incarnations) {
      Result["incarnations"][Vm.str()] = Incarnation;
    }
    for (const auto &[Holder, Sequence] : Source.Sequences) {
      Result["sequences"][Holder.str()] = Sequence;
    }
    for (const auto &[Holder, When] : Source.LastBatchTimes) {
      Result["seen"][Holder.str()] = internal::millis(When);
    }
    for (const auto &Plan : Source.AppliedPlans) {
      Result["plans"].push_back(Plan.str());
    }
    return Result;
  }

  [[nodiscard]] static LedgerState load(const json &Source) {
    LedgerState Result;
    Result.Next = Source.at("next").get<std::uint64_t>();
    Result.Time = internal::logTime(Source.at("time"));
    Result.KeyedBills = loadBills(Source.at("keyed"), Result);
    Result.UnkeyedBills = loadBills(Source.at("unkeyed"), Result);
    const auto ObjectOrEmpty = [&](const char *Name) {
      return Source.value(Name, json::object());
    };
    const json Pools = ObjectOrEmpty("pools");
    for (const auto &[Name, Balance] : Pools.items()) {
      Result.Pools.emplace(PoolId{Name}, internal::loadPool(Balance));
    }
    for (const auto &Row : Source.value("claims", json::array())) {
      const RequestId Key{Row.at("k").get<std::string>()};
      const auto State = internal::loadClaim(Row);
      Result.ClaimsByAge.emplace_back(State.ClaimedAt, Key);
      Result.Claims.emplace(Key, State);
    }
    const json Incarnations = ObjectOrEmpty("incarnations");
    for (const auto &[Vm, Incarnation] : Incarnations.items()) {
      Result.Incarnations.emplace(VmId{Vm}, Incarnation.get<std::uint64_t>());
    }
    const json Sequences = ObjectOrEmpty("sequences");
    for (const auto &[Name, Sequence] : Sequences.items()) {
      Result.Sequences.emplace(HolderId::parse(Name),
                               Sequence.get<std::uint64_t>());
    }
    const json LastBatchTimes = ObjectOrEmpty("seen");
    for (const auto &[Name, When] : LastBatchTimes.items()) {
      Result.LastBatchTimes.emplace(HolderId::parse(Name),
                                    internal::logTime(When));
    }
    for (const auto &Plan : Source.value("plans", json::array())) {
      Result.AppliedPlans.emplace(Plan.get<std::string>());
    }
    return Result;
  }
};

std::string LedgerState::save() const {
  return LedgerStateCodec::save(*this).dump(-1, ' ', false,
                                            json::error_handler_t::replace);
}

LedgerState LedgerState::load(std::string_view Text) {
  try {
    return LedgerStateCodec::load(json::parse(Text));
  } catch (const json::exception &Failure) {
    throw std::invalid_argument{Failure.what()};
  }
}

} // namespace goldcrestnotch
