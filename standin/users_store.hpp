/// @file
/// Stand-in for the store of the users' platform: keyed topics with conditional
/// appends, long-polling reads, and faults that tests enable.

#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "goldcrestnotch/http/server.hpp"

namespace standin {

/// @brief What goes wrong with pages of the newest records behind the first
/// one.
enum class PageFault : std::uint8_t {
  None,
  SamePage,    ///< The first page comes again.
  EmptyPage,   ///< A page without entries says that there are more.
  RejectsKeys, ///< The call is answered with status 400.
};

/// @brief What goes wrong with reads of the history.
enum class ReadFault : std::uint8_t {
  None,
  Text, ///< A text in place of offsets and records.
  Cut,  ///< A record that exceeds the size of the read is cut off.
};

/// @brief A store that listens on loopback. Tests write to it directly in the
/// place of the operator and of targets.
class UsersStore {
public:
  /// @param Address A loopback address; port zero picks a free port.
  UsersStore(boost::asio::io_context &Context,
             const goldcrestnotch::http::Endpoint &Address);

  [[nodiscard]] std::uint16_t port() const noexcept { return Listener.port(); }
  /// @brief Returns the newest value of a key, or nothing if the key is absent.
  [[nodiscard]] std::optional<std::string> value(const std::string &Topic,
                                                 const std::string &Key) const;

  /// @brief Appends a record; a record without a value deletes the key.
  void put(const std::string &Topic, const std::string &Key,
           const std::optional<std::string> &Value);
  /// @brief Appends a record whose content is no key and value. It is in the
  /// history only.
  void putContent(const std::string &Topic, const std::string &Content);
  /// @brief Deletes a topic with its history.
  void remove(const std::string &Topic);
  /// @brief Makes all present offsets unreadable (status 410); the newest value
  /// of each key remains available through `/api/log-newest`.
  void compact(const std::string &Topic);

  /// @brief Takes a copy, to which `restore` goes back.
  void takeCopy();
  /// @brief Begins a new era with the copy. Records that daemons have appended
  /// since are lost. Of those that `put` wrote, the newest of each key is
  /// written again, but for deleted keys: their writers are gone.
  /// @param LostKey A key that is not written again; empty for none.
  void restore(const std::string &LostKey = {});

  /// @brief Shows other text in the values that one reader gets, such as other
  /// addresses of targets.
  /// @param Host The `Host` header of its calls.
  /// @param Replacements New texts by old ones.
  void showToReader(const std::string &Host,
                    std::map<std::string, std::string> Replacements);

  /// @brief Makes answers state a text in place of the era.
  /// @param Text An empty text leaves the header out; without a text, answers
  /// state the era again.
  void stateEra(std::optional<std::string> Text);

  std::atomic<PageFault> PagesFail{PageFault::None};
  std::atomic<ReadFault> ReadsFail{ReadFault::None};
  /// Pages of newest records that were asked for.
  std::atomic<std::uint64_t> Pages{0};
  /// Respond 503 to every call.
  std::atomic<bool> Down{false};
  /// Apply appends, but send no response.
  std::atomic<bool> LoseAnswers{false};

private:
  struct Record {
    std::string Key;
    std::optional<std::string> Value;
    /// What readers of the history get in place of key and value.
    std::optional<std::string> Content = std::nullopt;
  };
  struct Topic {
    std::vector<Record> Records;
    std::uint64_t FirstOffset = 0; ///< Oldest readable offset.
    std::map<std::string, std::uint64_t> NewestOffsets; ///< By key.
  };

  void handle(goldcrestnotch::http::Exchange &HttpExchange);
  /// @brief Sends a response that states the era.
  void reply(goldcrestnotch::http::Exchange &HttpExchange,
             goldcrestnotch::http::Response Answer) const;
  void append(goldcrestnotch::http::Exchange &HttpExchange);
  void read(goldcrestnotch::http::Exchange &HttpExchange);
  void newest(goldcrestnotch::http::Exchange &HttpExchange);
  /// @brief Builds the response of a read, or nothing while the read must wait.
  /// @param MaxBytes No further record is added once the body has this size.
  /// @param TimedOut Whether to respond even without new records.
  [[nodiscard]] std::optional<goldcrestnotch::http::Response>
  page(const std::string &Name, const std::string &Host, std::uint64_t From,
       std::size_t MaxBytes, bool TimedOut);
  /// @brief The text of a value as a reader gets it.
  [[nodiscard]] std::string shown(const std::string &Host,
                                  std::string Value) const;
  void appendRecord(Topic &Log, Record Entry) const;

  mutable std::mutex Mutex;
  std::map<std::string, Topic> Topics; ///< Guarded by `Mutex`.
  std::map<std::string, Topic> Copy;   ///< Guarded by `Mutex`.
  /// The newest values that `put` wrote since the copy, by topic and key;
  /// guarded by `Mutex`.
  std::map<std::pair<std::string, std::string>, std::optional<std::string>>
      PutSinceCopy;
  /// Replaced texts by reader; guarded by `Mutex`.
  std::map<std::string, std::map<std::string, std::string>> ShownByHost;
  std::atomic<std::uint64_t> Era{1};
  std::optional<std::string> EraText; ///< Guarded by `Mutex`.
  goldcrestnotch::http::Server Listener;
};

} // namespace standin
