/// @file
/// Keeps a VM's copies of the operator's and the targets' partitions current
/// when its own reads of the store are late: asks other VMs how far they are,
/// and answers their questions.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "goldcrestnotch/backend/target_set.hpp"
#include "goldcrestnotch/notices/message.hpp"
#include "goldcrestnotch/notices/notice_socket.hpp"
#include "goldcrestnotch/store/view_freshness.hpp"

namespace goldcrestnotch::notices {

/// @brief What this VM has of a partition.
struct OwnView {
  Instant ProvenAt{};  ///< All records of that time are known.
  store::Position End; ///< The newest known position plus one.
};

/// @brief Names of targets whose records say that no request may go there.
struct DepartedTargets {
  std::vector<TargetId> Leaving;
  std::vector<TargetId> Deleted;
};

/// @brief Access to what the VM has read.
struct ViewSources {
  std::function<OwnView()> Operator;
  std::function<OwnView()> Targets;
  /// Returns the targets that left at or after a position.
  std::function<DepartedTargets(store::Position)> DepartedSince;
  /// Takes the name of a target that another VM knows to be deleted.
  std::function<void(const TargetId &)> OnDeleted;
};

/// @brief The copies that a VM keeps current.
enum class View : std::uint8_t { Operator, Targets };

/// @brief Asks and answers questions about the currency of views.
class ViewExchange {
public:
  /// Number of VMs that are asked at a time.
  static constexpr std::size_t PeersPerRound = 2;
  /// Number of VMs that are asked at a time while a request waits.
  static constexpr std::size_t PeersPerUrgentRound = 4;
  using RandomSource = std::function<double()>;

  /// @param OperatorMaxAge How old a configuration may be once another VM has a
  /// newer one.
  /// @param TargetsMaxAge How old the list of targets may be.
  ViewExchange(NoticeSocket &Socket, backend::TargetSet &Targets,
               ViewSources Sources, Millis OperatorMaxAge,
               Millis TargetsMaxAge);

  /// @brief Whether one of the views is too old to decide by.
  [[nodiscard]] bool outdated(Instant Now);
  /// @brief Whether another VM has operator records that this one misses.
  [[nodiscard]] bool operatorBehind();
  /// @brief Age of the newest proof that the list of targets is complete.
  [[nodiscard]] Millis targetsAge(Instant Now);
  /// @brief Whether a decision by a view may take effect now.
  [[nodiscard]] bool usable(Instant Now, View Wanted);
  /// @brief Whether a view is so old that datagrams seem to get lost.
  [[nodiscard]] bool unproven(Instant Now);
  /// @brief Asks other VMs if a view has not been proven current for a while.
  /// @param Draw Returns a uniformly distributed number in [0, 1).
  void maintain(Instant Now, const RandomSource &Draw);
  /// @brief Asks some other VMs now.
  void ask(Instant Now, std::size_t PeerCount, const RandomSource &Draw);
  /// @brief A question that is sent to one VM over a connection.
  [[nodiscard]] ViewRequest question(Instant Now, const RandomSource &Draw);
  /// @brief The answer to a question of another VM.
  [[nodiscard]] ViewResponse answer(Instant Now, const ViewRequest &Request);
  /// @brief Records that nobody could be asked, so the view is as good as any.
  /// @return False if another VM is known to have more.
  bool confirm(Instant Now, View Wanted);

  void handle(Instant Now, const ViewRequest &Request,
              const NoticeSocket::Endpoint &From);
  void handle(Instant Now, const ViewResponse &Response);

private:
  /// @brief A question to one VM or more.
  struct Question {
    Instant Sent{};
    std::size_t Unanswered = 0; ///< VMs that have not answered it.
    /// The answers show what the fleet knows, not only one VM.
    bool OfFleet = false;
  };

  void refresh();
  [[nodiscard]] store::ViewFreshness &freshness(View Wanted) noexcept {
    return Wanted == View::Operator ? Operator : TargetList;
  }
  /// @brief Opens a question and builds its message.
  [[nodiscard]] ViewRequest open(const Question &Opened,
                                 const RandomSource &Draw);
  /// @brief Logs, at most once in an interval, that a view is old although
  /// other VMs are asked.
  void logOld(Instant Now);

  NoticeSocket &Socket;
  backend::TargetSet &Targets;
  ViewSources Sources;
  store::ViewFreshness Operator;
  store::ViewFreshness TargetList;
  Millis OperatorAskAge;
  Millis TargetsAskAge;
  std::map<std::uint64_t, Question> Asked; ///< By nonce.
  std::uint64_t AnswerCount = 0;           ///< Answers of other VMs so far.
  Instant NextOldLog{};
  bool WasOutdated = false;
};

} // namespace goldcrestnotch::notices
