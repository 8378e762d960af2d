/// @file
/// Decodes the live list, tracks missing VMs and finds homes by rendezvous
/// hashing.

#include "goldcrestnotch/membership/membership_view.hpp"

#include <algorithm>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "goldcrestnotch/core/hash.hpp"

namespace goldcrestnotch {

namespace internal {

using nlohmann::json;

/// @brief Reads a text of a row; an empty one if it states none.
[[nodiscard]] static std::string textAt(const json &Row, const char *Name) {
  const auto It = Row.find(Name);
  return It != Row.end() && It->is_string() ? It->get<std::string>()
                                            : std::string{};
}

/// @brief Reads an address of a row; one without a port if it states none.
[[nodiscard]] static http::Endpoint endpointAt(const json &Row,
                                               const char *Name) {
  try {
    return http::Endpoint::parse(textAt(Row, Name));
  } catch (const std::invalid_argument &) {
    return {};
  }
}

} // namespace internal

std::vector<VmEntry> decodeLiveList(std::string_view Text) {
  const auto Document = nlohmann::json::parse(Text, nullptr, false);
  const auto Rows =
      Document.is_object() ? Document.find("vms") : Document.end();
  if (Rows == Document.end() || !Rows->is_array()) {
    throw std::invalid_argument{"the live list has no list of VMs"};
  }
  std::vector<VmEntry> Result;
  for (const auto &Row : *Rows) {
    const VmId Name{Row.is_object() ? internal::textAt(Row, "vm")
                                    : std::string{}};
    if (!Name.empty()) {
      Result.push_back({Name, DomainId{internal::textAt(Row, "domain")},
                        internal::endpointAt(Row, "entry"),
                        internal::endpointAt(Row, "peer"),
                        internal::textAt(Row, "state") == "leaving"});
    }
  }
  return Result;
}

std::vector<VmEntry> MembershipView::ranked(std::string_view Key) const {
  std::vector<VmEntry> Result;
  for (const auto &[Name, Entry] : Vms) {
    if (!Entry.Leaving && Entry.Entry.Port != 0 && Entry.Peer.Port != 0) {
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
