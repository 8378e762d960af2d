/// @file
/// Implements the HTTP calls of the store as its published documentation
/// describes them.

#include "users_store.hpp"

#include <algorithm>
#include <cctype>
#include <cstdlib>

#include <boost/asio/error.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/system/system_error.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "standin.hpp"

namespace standin {

using goldcrestnotch::http::Endpoint;
using goldcrestnotch::http::Exchange;
using goldcrestnotch::http::Request;
using goldcrestnotch::http::Response;

namespace {

/// Size limit of one read that states no `maxKb`.
constexpr std::uint64_t DefaultReadKb = 1'024;
/// Limits of a page of the newest records.
constexpr std::size_t MaxPageItems = 500;
constexpr std::size_t MaxPageBytes = 1U << 20U;
constexpr Millis ReadPollInterval{5};
constexpr std::size_t LengthBytes = 4;

std::uint64_t parseNumber(const std::string &Text) {
  return Text.empty() ? 0 : std::strtoull(Text.c_str(), nullptr, 10);
}

std::string bigEndian64(std::uint64_t Value) {
  std::string Result(sizeof Value, '\0');
  boost::endian::store_big_u64(reinterpret_cast<unsigned char *>(Result.data()),
                               Value);
  return Result;
}

std::string frame(const std::string &Content) {
  std::string Result(LengthBytes, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(Result.data()),
                               static_cast<std::uint32_t>(Content.size()));
  return Result + Content;
}

std::string base64(const std::string &Bytes) {
  std::string Result(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  const int Count =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Result.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Result.resize(static_cast<std::size_t>(Count));
  return Result;
}

bool isHexDigit(char Character) {
  return std::isxdigit(static_cast<unsigned char>(Character)) != 0;
}

/// Reads a query parameter as form data: a plus sign is a blank, and a number
/// sign ends the query.
/// @return Nothing if a percent sign is not followed by two digits.
std::optional<std::string> formValue(const Request &Source, const char *Name) {
  auto Spaced = Source;
  Spaced.Query.resize(std::min(Spaced.Query.find('#'), Spaced.Query.size()));
  for (std::size_t I = 0; I < Spaced.Query.size(); ++I) {
    if (Spaced.Query[I] == '%' &&
        (I + 2 >= Spaced.Query.size() || !isHexDigit(Spaced.Query[I + 1]) ||
         !isHexDigit(Spaced.Query[I + 2]))) {
      return std::nullopt;
    }
    if (Spaced.Query[I] == '+') {
      Spaced.Query[I] = ' ';
    }
  }
  return Spaced.parameter(Name);
}

[[noreturn]] void loseConnection() {
  throw boost::system::system_error{boost::asio::error::connection_reset};
}

} // namespace

UsersStore::UsersStore(boost::asio::io_context &Context,
                       const Endpoint &Address)
    : Listener{Context, Address, {}, [this](Exchange &HttpExchange) {
                 handle(HttpExchange);
               }} {
  Listener.start();
}

std::optional<std::string> UsersStore::value(const std::string &Topic,
                                             const std::string &Key) const {
  const std::lock_guard Lock{Mutex};
  const auto Found = Topics.find(Topic);
  if (Found == Topics.end() || !Found->second.NewestOffsets.contains(Key)) {
    return std::nullopt;
  }
  return Found->second.Records[Found->second.NewestOffsets.at(Key)].Value;
}

void UsersStore::put(const std::string &Topic, const std::string &Key,
                     const std::optional<std::string> &Value) {
  const std::lock_guard Lock{Mutex};
  appendRecord(Topics[Topic], {Key, Value});
  PutSinceCopy[{Topic, Key}] = Value;
}

void UsersStore::putContent(const std::string &Topic,
                            const std::string &Content) {
  const std::lock_guard Lock{Mutex};
  Topics[Topic].Records.push_back({{}, std::nullopt, Content});
}

void UsersStore::stateEra(std::optional<std::string> Text) {
  const std::lock_guard Lock{Mutex};
  EraText = std::move(Text);
}

void UsersStore::showToReader(const std::string &Host,
                              std::map<std::string, std::string> Replacements) {
  const std::lock_guard Lock{Mutex};
  ShownByHost[Host] = std::move(Replacements);
}

std::string UsersStore::shown(const std::string &Host,
                              std::string Value) const {
  const auto Found = ShownByHost.find(Host);
  if (Found == ShownByHost.end()) {
    return Value;
  }
  for (const auto &[Old, New] : Found->second) {
    if (const auto Begin = Value.find(Old); Begin != std::string::npos) {
      Value.replace(Begin, Old.size(), New);
    }
  }
  return Value;
}

void UsersStore::takeCopy() {
  const std::lock_guard Lock{Mutex};
  Copy = Topics;
  PutSinceCopy.clear();
}

void UsersStore::restore(const std::string &LostKey) {
  const std::lock_guard Lock{Mutex};
  Topics = Copy;
  for (const auto &[Place, Value] : PutSinceCopy) {
    if (Value && Place.second != LostKey) {
      appendRecord(Topics[Place.first], {Place.second, Value});
    }
  }
  ++Era;
}

void UsersStore::remove(const std::string &Topic) {
  const std::lock_guard Lock{Mutex};
  Topics.erase(Topic);
  Pages = 0;
}

void UsersStore::compact(const std::string &Topic) {
  const std::lock_guard Lock{Mutex};
  Topics[Topic].FirstOffset = Topics[Topic].Records.size();
}

void UsersStore::appendRecord(Topic &Log, Record Entry) const {
  Log.NewestOffsets[Entry.Key] = Log.Records.size();
  Log.Records.push_back(std::move(Entry));
}

void UsersStore::reply(Exchange &HttpExchange, Response Answer) const {
  {
    const std::lock_guard Lock{Mutex};
    const auto Stated = EraText.value_or(std::to_string(Era));
    if (!Stated.empty()) {
      Answer.Fields["Store-Era"] = Stated;
    }
  }
  HttpExchange.reply(Answer);
}

void UsersStore::handle(Exchange &HttpExchange) {
  if (Down) {
    reply(HttpExchange, answer({{"error", "down"}}, 503));
    return;
  }
  const auto &Path = HttpExchange.request().Path;
  if (Path == "/api/log-append") {
    append(HttpExchange);
  } else if (Path == "/api/log-read") {
    read(HttpExchange);
  } else if (Path == "/api/log-newest") {
    newest(HttpExchange);
  } else {
    reply(HttpExchange, answer({{"error", "not found"}}, 404));
  }
}

void UsersStore::append(Exchange &HttpExchange) {
  const auto &Request = HttpExchange.request();
  int Status = 200;
  std::uint64_t FirstOffset = 0;
  std::uint64_t EndOffset = 0;
  {
    const std::lock_guard Lock{Mutex};
    auto &Log = Topics[formValue(Request, "topic").value_or("")];
    FirstOffset = Log.Records.size();
    const auto Condition = Request.parameter("at");
    if (!Condition.empty() && parseNumber(Condition) != Log.Records.size()) {
      Status = 412;
    }
    for (std::size_t Position = 0;
         Status == 200 && Position < Request.Body.size();) {
      const auto Size =
          boost::endian::load_big_u32(reinterpret_cast<const unsigned char *>(
              Request.Body.data() + Position));
      const auto Content = Request.Body.substr(Position + LengthBytes, Size);
      const auto KeyBytes = static_cast<unsigned char>(Content.at(0));
      Record Entry{Content.substr(1, KeyBytes), std::nullopt};
      if (Content.size() > std::size_t{KeyBytes} + 1) {
        Entry.Value = Content.substr(KeyBytes + 1U);
      }
      appendRecord(Log, std::move(Entry));
      Position += LengthBytes + Size;
    }
    EndOffset = Log.Records.size();
  }
  if (LoseAnswers) {
    loseConnection();
  }
  reply(HttpExchange,
        answer({{"offset", FirstOffset}, {"endOffset", EndOffset}}, Status));
}

void UsersStore::read(Exchange &HttpExchange) {
  const auto &Request = HttpExchange.request();
  const auto From = parseNumber(Request.parameter("from"));
  const auto Deadline =
      DecisionClock::now() + Millis{parseNumber(Request.parameter("waitMs"))};
  if (ReadsFail == ReadFault::Text) {
    reply(HttpExchange, answer({{"error", "no read"}}));
    return;
  }
  const auto MaxKb = Request.parameter("maxKb");
  const std::size_t MaxBytes =
      (MaxKb.empty() ? DefaultReadKb : parseNumber(MaxKb)) * 1'024;
  while (true) {
    // The lock must not be held while the response is written.
    if (const auto Answer = page(formValue(Request, "topic").value_or(""),
                                 std::string{Request.field("Host")}, From,
                                 MaxBytes, DecisionClock::now() >= Deadline)) {
      reply(HttpExchange, *Answer);
      return;
    }
    sleep(HttpExchange, ReadPollInterval);
    if (Down) {
      loseConnection();
    }
  }
}

std::optional<Response> UsersStore::page(const std::string &Name,
                                         const std::string &Host,
                                         std::uint64_t From,
                                         std::size_t MaxBytes, bool TimedOut) {
  const std::lock_guard Lock{Mutex};
  const auto &Log = Topics[Name];
  if (From < Log.FirstOffset || From > Log.Records.size()) {
    return answer({{"firstOffset", Log.FirstOffset}}, 410);
  }
  if (From >= Log.Records.size() && !TimedOut) {
    return std::nullopt;
  }
  Response Answer;
  Answer.Body = bigEndian64(Log.Records.size()) + bigEndian64(Log.FirstOffset);
  for (auto I = From; I < Log.Records.size() && Answer.Body.size() < MaxBytes;
       ++I) {
    const auto &Entry = Log.Records[I];
    Answer.Body += frame(Entry.Content.value_or(
        std::string(1, static_cast<char>(Entry.Key.size())) + Entry.Key +
        shown(Host, Entry.Value.value_or(""))));
  }
  if (ReadsFail == ReadFault::Cut) {
    Answer.Body.resize(std::min(Answer.Body.size(), MaxBytes));
  }
  return Answer;
}

void UsersStore::newest(Exchange &HttpExchange) {
  const auto &Request = HttpExchange.request();
  auto After = formValue(Request, "after");
  const auto Fault =
      After && !After->empty() ? PagesFail.load() : PageFault::None;
  if (Fault == PageFault::SamePage) {
    After->clear();
  }
  if (!After || Fault == PageFault::RejectsKeys) {
    reply(HttpExchange, answer({{"error", "malformed query"}}, 400));
    return;
  }
  ++Pages;
  const std::string Host{Request.field("Host")};
  json Items = json::array();
  std::uint64_t EndOffset = 0;
  bool More = false;
  {
    const std::lock_guard Lock{Mutex};
    const auto &Log = Topics[formValue(Request, "topic").value_or("")];
    EndOffset = Log.Records.size();
    std::size_t Bytes = 0;
    for (auto I = After->empty() ? Log.NewestOffsets.begin()
                                 : Log.NewestOffsets.upper_bound(*After);
         I != Log.NewestOffsets.end(); ++I) {
      if (Fault == PageFault::EmptyPage) {
        More = true;
        break;
      }
      const auto &Value = Log.Records[I->second].Value;
      if (!Value) {
        continue;
      }
      auto Encoded = base64(shown(Host, *Value));
      Bytes += I->first.size() + Encoded.size();
      More = Items.size() == MaxPageItems ||
             (Bytes > MaxPageBytes && !Items.empty());
      if (More) {
        break;
      }
      Items.push_back({{"key", I->first},
                       {"value", std::move(Encoded)},
                       {"offset", I->second}});
    }
  }
  Response Answer = answer({});
  Answer.Body =
      json{{"items", Items}, {"hasMore", More}, {"endOffset", EndOffset}}.dump(
          -1, ' ', false, json::error_handler_t::replace);
  reply(HttpExchange, std::move(Answer));
}

} // namespace standin
