/// @file
/// Saving and loading a book as JSON, for snapshots.

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

[[nodiscard]] static json save(const std::map<HolderId, Tokens> &Parts) {
  json Result = json::object();
  for (const auto &[Holder, Amount] : Parts) {
    Result[Holder.str()] = Amount.count();
  }
  return Result;
}

[[nodiscard]] static std::map<HolderId, Tokens> loadParts(const json &Source) {
  std::map<HolderId, Tokens> Result;
  for (const auto &[Name, Amount] : Source.items()) {
    Result.emplace(HolderId::parse(Name), Tokens{Amount.get<std::int64_t>()});
  }
  return Result;
}

[[nodiscard]] static json save(const Pool &Source) {
  json Short = json::array();
  for (const auto &S : Source.Short) {
    Short.push_back({S.Holder.str(), S.Want.count(), S.Floor.count()});
  }
  return {{"t", Source.Total.count()},
          {"v", Source.Version},
          {"b", Source.Billed.count()},
          {"w", Source.WrittenOff.count()},
          {"g", save(Source.Granted)},
          {"d", save(Source.Unsettled)},
          {"s", Short}};
}

[[nodiscard]] static Pool loadPool(const json &Source) {
  Pool Result;
  Result.Total = Tokens{Source.at("t").get<std::int64_t>()};
  Result.Version = Source.at("v").get<std::uint64_t>();
  Result.Billed = Tokens{Source.at("b").get<std::int64_t>()};
  Result.WrittenOff = Tokens{Source.at("w").get<std::int64_t>()};
  Result.Granted = loadParts(Source.at("g"));
  Result.Unsettled = loadParts(Source.at("d"));
  for (const auto &S : Source.at("s")) {
    Result.Short.push_back({HolderId::parse(S.at(0).get<std::string>()),
                            Tokens{S.at(1).get<std::int64_t>()},
                            Tokens{S.at(2).get<std::int64_t>()}});
  }
  return Result;
}

[[nodiscard]] static json save(const RequestId &Key, const ClaimState &Source) {
  json Result{{"k", Key.str()},
              {"h", Source.Holder.str()},
              {"t", millis(Source.Since)}};
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

/// @brief Reaches into a book for `save` and `load`.
struct LedgerStateCodec {
  using Ages = std::deque<LedgerState::Remembered>;

  [[nodiscard]] static json save(const Ages &Source) {
    json Result = json::array();
    for (const auto &One : Source) {
      Result.push_back({internal::millis(One.When), One.Hash});
    }
    return Result;
  }

  [[nodiscard]] static Ages loadAges(const json &Source, LedgerState &Target) {
    Ages Result;
    for (const auto &One : Source) {
      Result.push_back(
          {internal::logTime(One.at(0)), One.at(1).get<std::uint64_t>()});
      Target.BilledHashes.insert(Result.back().Hash);
    }
    return Result;
  }

  [[nodiscard]] static json save(const LedgerState &Source) {
    json Result{{"next", Source.Next},
                {"time", internal::millis(Source.Time)},
                {"keyed", save(Source.Keyed)},
                {"unkeyed", save(Source.Unkeyed)}};
    for (const auto &[Name, Target] : Source.Pools) {
      Result["pools"][Name.str()] = internal::save(Target);
    }
    for (const auto &[When, Key] : Source.ClaimAges) {
      Result["claims"].push_back(internal::save(Key, Source.Claims.at(Key)));
    }
    for (const auto &[Vm, Incarnation] : Source.Incarnations) {
      Result["incarnations"][Vm.str()] = Incarnation;
    }
    for (const auto &[Holder, Sequence] : Source.Sequences) {
      Result["sequences"][Holder.str()] = Sequence;
    }
    for (const auto &[Holder, When] : Source.Seen) {
      Result["seen"][Holder.str()] = internal::millis(When);
    }
    for (const auto &Plan : Source.Plans) {
      Result["plans"].push_back(Plan.str());
    }
    return Result;
  }

  [[nodiscard]] static LedgerState load(const json &Source) {
    LedgerState Result;
    Result.Next = Source.at("next").get<std::uint64_t>();
    Result.Time = internal::logTime(Source.at("time"));
    Result.Keyed = loadAges(Source.at("keyed"), Result);
    Result.Unkeyed = loadAges(Source.at("unkeyed"), Result);
    const auto Object = [&](const char *Name) {
      return Source.value(Name, json::object());
    };
    const json Pools = Object("pools");
    for (const auto &[Name, Target] : Pools.items()) {
      Result.Pools.emplace(PoolId{Name}, internal::loadPool(Target));
    }
    for (const auto &One : Source.value("claims", json::array())) {
      const RequestId Key{One.at("k").get<std::string>()};
      const auto State = internal::loadClaim(One);
      Result.ClaimAges.emplace_back(State.Since, Key);
      Result.Claims.emplace(Key, State);
    }
    const json Incarnations = Object("incarnations");
    for (const auto &[Vm, Incarnation] : Incarnations.items()) {
      Result.Incarnations.emplace(VmId{Vm}, Incarnation.get<std::uint64_t>());
    }
    const json Sequences = Object("sequences");
    for (const auto &[Name, Sequence] : Sequences.items()) {
      Result.Sequences.emplace(HolderId::parse(Name),
                               Sequence.get<std::uint64_t>());
    }
    const json Seen = Object("seen");
    for (const auto &[Name, When] : Seen.items()) {
      Result.Seen.emplace(HolderId::parse(Name), internal::logTime(When));
    }
    for (const auto &Plan : Source.value("plans", json::array())) {
      Result.Plans.emplace(Plan.get<std::string>());
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
