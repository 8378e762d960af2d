/// @file
/// Implements the invariant checks of the soak test.

#include "invariant_checker.hpp"

#include <algorithm>

namespace soak {

namespace {

/// Whether a status guarantees to the caller that no replica executed the
/// request.
[[nodiscard]] bool statesNotExecuted(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

[[nodiscard]] std::int64_t countEvents(const std::string &Body) {
  std::int64_t Count = 0;
  for (auto Position = Body.find("\n\n"); Position != std::string::npos;
       Position = Body.find("\n\n", Position + 2)) {
    ++Count;
  }
  return Count;
}

[[nodiscard]] const char *kindName(RequestKind Kind) {
  switch (Kind) {
  case RequestKind::Chat:
    return "chat";
  case RequestKind::Order:
    return "order";
  case RequestKind::Stock:
    return "stock";
  }
  return "";
}

} // namespace

void InvariantChecker::checkAnswer(RequestKind Kind,
                                   const std::string &AttemptId,
                                   const platform_test::CallResult &Answer) {
  if (Answer.Status == 401 || Answer.Status == 403 || Answer.Status == 404) {
    addViolation("attempt " + AttemptId + ": a valid request was answered " +
                 std::to_string(Answer.Status));
  }
  checkContent(Kind, AttemptId, Answer);
  const std::lock_guard Lock{Mutex};
  ++AnswerCounts[std::string{kindName(Kind)} + " " +
                 std::to_string(Answer.Status) +
                 (Answer.Status == 200 && !Answer.Complete ? " cut off" : "")];
  if (Kind == RequestKind::Order) {
    OrderStatuses[AttemptId] = Answer.Status;
  }
  const auto Events = Kind == RequestKind::Chat ? countEvents(Answer.Body) : 0;
  DeliveredTokens +=
      Events > 0 ? InputTokens + Events * platform_test::Fleet::EventTokens : 0;
}

void InvariantChecker::checkContent(RequestKind Kind,
                                    const std::string &AttemptId,
                                    const platform_test::CallResult &Answer) {
  if (Answer.Status != 200) {
    return;
  }
  if (!Answer.Fields.contains("X-Goldcrestnotch-Replica-Signature")) {
    addViolation("attempt " + AttemptId +
                 ": a successful answer has no replica signature");
  }
  if (Kind == RequestKind::Chat) {
    const bool Matches =
        Answer.Complete
            ? Answer.Body == platform_test::CompleteStream
            : platform_test::CompleteStream.starts_with(Answer.Body);
    if (!Matches) {
      addViolation("attempt " + AttemptId +
                   ": the stream differs from the one that the replica sent: " +
                   Answer.Body);
    }
  } else if (Answer.Complete && !Answer.Body.starts_with("done by i-")) {
    addViolation("attempt " + AttemptId +
                 ": the body differs from the one that the replica sent: " +
                 Answer.Body);
  }
}

void InvariantChecker::addViolation(const std::string &Description) {
  const std::lock_guard Lock{Mutex};
  Violations.push_back(Description);
}

void InvariantChecker::checkTotals() {
  const std::lock_guard Lock{Mutex};
  for (const auto &[AttemptId, Status] : OrderStatuses) {
    const int Runs = Fleet.runsOf(AttemptId);
    if (Runs > 1) {
      Violations.push_back("order " + AttemptId + " was executed " +
                           std::to_string(Runs) + " times");
    }
    if (Runs > 0 && statesNotExecuted(Status)) {
      Violations.push_back("order " + AttemptId + " was answered " +
                           std::to_string(Status) + " and was executed");
    }
  }
  if (DeliveredTokens > PrepaidTokens) {
    Violations.push_back("callers received " + std::to_string(DeliveredTokens) +
                         " tokens of the prepaid " +
                         std::to_string(PrepaidTokens));
  }
}

std::vector<std::string> InvariantChecker::violations() const {
  const std::lock_guard Lock{Mutex};
  return Violations;
}

std::string InvariantChecker::report() const {
  const std::lock_guard Lock{Mutex};
  std::string Result;
  for (const auto &[Kind, Count] : AnswerCounts) {
    Result += "  " + Kind + ": " + std::to_string(Count) + "\n";
  }
  return Result + "  tokens delivered: " + std::to_string(DeliveredTokens) +
         " of " + std::to_string(PrepaidTokens) + "\n";
}

} // namespace soak
