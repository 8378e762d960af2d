/// @file
/// Stand-in for the store of the users' platform: keyed topics with conditional
/// appends, reads that wait, and faults that tests switch on.

#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "goldcrestnotch/http/server.hpp"

namespace standin {

/// @brief One store. Tests write to it as the operator and targets do.
class UsersStore {
public:
  /// @param Where A loopback address; port zero picks one.
  UsersStore(boost::asio::io_context &Context,
             const goldcrestnotch::http::Endpoint &Where);

  [[nodiscard]] std::uint16_t port() const noexcept { return Link.port(); }
  /// @brief The newest value of a key; nothing if there is none.
  [[nodiscard]] std::optional<std::string> value(const std::string &Topic,
                                                 const std::string &Key) const;

  /// @brief Writes a record; no value drops the key.
  void put(const std::string &Topic, const std::string &Key,
           const std::optional<std::string> &Value);
  /// @brief Forgets all records but the newest of each key.
  void compact(const std::string &Topic);

  std::atomic<bool> Down{false};        ///< Answers 503 and does nothing.
  std::atomic<bool> LoseAnswers{false}; ///< Appends are done, not answered.

private:
  struct Record {
    std::string Key;
    std::optional<std::string> Value;
  };
  struct Topic {
    std::vector<Record> Records;
    std::uint64_t First = 0; ///< Oldest offset that can be read.
    std::map<std::string, std::uint64_t> Newest;
  };

  void handle(goldcrestnotch::http::Exchange &Talk);
  void append(goldcrestnotch::http::Exchange &Talk);
  void read(goldcrestnotch::http::Exchange &Talk);
  void newest(goldcrestnotch::http::Exchange &Talk);
  /// @param MostBytes Records beyond are left for the next read.
  /// @param Empty Whether to answer though there is no news.
  [[nodiscard]] std::optional<goldcrestnotch::http::Response>
  page(const std::string &Name, std::uint64_t From, std::size_t MostBytes,
       bool Empty);
  void add(Topic &At, Record One) const;

  mutable std::mutex Mutex;
  std::map<std::string, Topic> Topics; ///< Guarded by `Mutex`.
  goldcrestnotch::http::Server Link;
};

} // namespace standin
