/// @file
/// Decodes the live list, tracks missing VMs and finds homes by rendezvous
/// hashing.

#include "goldcrestnotch/membership/membership_view.hpp"

#include <algorithm>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "goldcrestnotch/core/hash.hpp"

namespace goldcrestnotch {

std::vector<VmEntry> decodeLiveList(std::string_view Text) {
  try {
    std::vector<VmEntry> Result;
    const auto Document = nlohmann::json::parse(Text);
    for (const auto &Row : Document.at("vms")) {
      Result.push_back(
          {VmId{Row.at("vm").get<std::string>()},
           DomainId{Row.at("domain").get<std::string>()},
           http::Endpoint::parse(Row.at("entry").get<std::string>()),
           http::Endpoint::parse(Row.at("peer").get<std::string>()),
           Row.at("state").get<std::string>() == "leaving"});
    }
    return Result;
  } catch (const nlohmann::json::exception &Failure) {
    throw std::invalid_argument{Failure.what()};
  }
}

std::vector<VmEntry> MembershipView::ranked(std::string_view Key) const {
  std::vector<VmEntry> Result;
  for (const auto &[Name, Entry] : Vms) {
    if (!Entry.Leaving) {
      Result.push_back(Entry);
    }
  }
  std::sort(
      Result.begin(), Result.end(), [&](const VmEntry &A, const VmEntry &B) {
        return rendezvous(Key, A.Name.str()) > rendezvous(Key, B.Name.str());
      });
  return Result;
}

VmId MembershipView::home(std::string_view Key) const {
  VmId Best;
  std::uint64_t BestScore = 0;
  for (const auto &[Name, Entry] : Vms) {
    const auto Score = rendezvous(Key, Name.str());
    if (!Entry.Leaving && (Best.empty() || Score > BestScore)) {
      Best = Name;
      BestScore = Score;
    }
  }
  return Best;
}

Millis MembershipView::missingFor(const VmId &Name) const {
  const auto It = MissingFor.find(Name);
  return It == MissingFor.end() ? Millis{0} : It->second;
}

void MembershipView::update(Instant Now, const std::vector<VmEntry> &LiveList) {
  const auto Elapsed = LastUpdate ? Now - *LastUpdate : Millis{0};
  LastUpdate = Now;
  Ready = true;
  for (const auto &[Name, Entry] : Vms) {
    MissingFor.try_emplace(Name, Millis{0});
  }
  Vms.clear();
  for (const auto &Entry : LiveList) {
    Vms[Entry.Name] = Entry;
  }
  for (auto &[Name, Duration] : MissingFor) {
    Duration = Vms.contains(Name) ? Millis{0} : Duration + Elapsed;
  }
}

} // namespace goldcrestnotch
