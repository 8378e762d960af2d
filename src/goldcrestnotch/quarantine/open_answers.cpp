/// @file
/// Bookkeeping of unanswered requests.

#include "goldcrestnotch/quarantine/open_answers.hpp"

#include <utility>

namespace goldcrestnotch::quarantine {

OpenAnswers::Key OpenAnswers::open(Instant Now, TargetRun Run,
                                   RequestSuspects Suspects) {
  Requests.emplace(++LastKey, Entry{{Run, std::move(Suspects), false, Now}});
  return LastKey;
}

void OpenAnswers::begin(Instant Now, Key Request) {
  if (const auto It = Requests.find(Request); It != Requests.end()) {
    It->second.Request.Begun = true;
    It->second.Request.Since = Now;
  }
}

void OpenAnswers::lose(Instant Now, Key Request) {
  const auto It = Requests.find(Request);
  if (It == Requests.end()) {
    return;
  }
  if (++Lost > MaxLost) {
    Requests.erase(It);
    return;
  }
  It->second.MemoryDeadline = Now + LossMemory;
}

template <typename Predicate>
std::vector<UnansweredRequest> OpenAnswers::take(Predicate Matches) {
  std::vector<UnansweredRequest> Result;
  for (auto It = Requests.begin(); It != Requests.end();) {
    if (Matches(It->second.Request)) {
      Result.push_back(std::move(It->second.Request));
      It = Requests.erase(It);
    } else {
      ++It;
    }
  }
  return Result;
}

std::vector<UnansweredRequest> OpenAnswers::endRun(TargetRun Ended,
                                                   bool OnlyBegun) {
  return take([&](const UnansweredRequest &Request) {
    return Request.Run == Ended && (Request.Begun || !OnlyBegun);
  });
}

std::vector<UnansweredRequest> OpenAnswers::startRun(TargetRun Started) {
  return take([&](const UnansweredRequest &Request) {
    return Request.Run.NameHash == Started.NameHash &&
           Request.Run.Incarnation < Started.Incarnation;
  });
}

void OpenAnswers::expire(Instant Now) {
  std::erase_if(Requests, [&](const auto &Item) {
    return Now >= Item.second.MemoryDeadline;
  });
  Lost = 0;
  for (const auto &Item : Requests) {
    Lost += Item.second.MemoryDeadline != Instant::max() ? 1 : 0;
  }
}

} // namespace goldcrestnotch::quarantine
