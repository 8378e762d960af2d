/// @file
/// The store's calls as the users' pages describe them.

#include "users_store.hpp"

#include <algorithm>
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
using goldcrestnotch::http::Response;

namespace {

/// What one read brings unless it asks for less.
constexpr std::uint64_t DefaultReadKb = 1'024;
constexpr Millis ReadPoll{5};
constexpr std::size_t LengthBytes = 4;

std::uint64_t numberOf(const std::string &Text) {
  return Text.empty() ? 0 : std::strtoull(Text.c_str(), nullptr, 10);
}

std::string bigEndian64(std::uint64_t Value) {
  std::string Result(sizeof Value, '\0');
  boost::endian::store_big_u64(reinterpret_cast<unsigned char *>(Result.data()),
                               Value);
  return Result;
}

std::string framed(const std::string &Content) {
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

[[noreturn]] void loseConnection() {
  throw boost::system::system_error{boost::asio::error::connection_reset};
}

} // namespace

UsersStore::UsersStore(boost::asio::io_context &Context, const Endpoint &Where)
    : Link{Context, Where, {}, [this](Exchange &Talk) { handle(Talk); }} {
  Link.start();
}

std::optional<std::string> UsersStore::value(const std::string &Topic,
                                             const std::string &Key) const {
  const std::lock_guard Lock{Mutex};
  const auto At = Topics.find(Topic);
  if (At == Topics.end() || !At->second.Newest.contains(Key)) {
    return std::nullopt;
  }
  return At->second.Records[At->second.Newest.at(Key)].Value;
}

void UsersStore::put(const std::string &Topic, const std::string &Key,
                     const std::optional<std::string> &Value) {
  const std::lock_guard Lock{Mutex};
  add(Topics[Topic], {Key, Value});
}

void UsersStore::compact(const std::string &Topic) {
  const std::lock_guard Lock{Mutex};
  Topics[Topic].First = Topics[Topic].Records.size();
}

void UsersStore::add(Topic &At, Record One) const {
  At.Newest[One.Key] = At.Records.size();
  At.Records.push_back(std::move(One));
}

void UsersStore::handle(Exchange &Talk) {
  if (Down) {
    Talk.reply(answer({{"error", "down"}}, 503));
    return;
  }
  const auto &Path = Talk.request().Path;
  if (Path == "/api/log-append") {
    append(Talk);
  } else if (Path == "/api/log-read") {
    read(Talk);
  } else if (Path == "/api/log-newest") {
    newest(Talk);
  } else {
    Talk.reply(answer({{"error", "not found"}}, 404));
  }
}

void UsersStore::append(Exchange &Talk) {
  const auto &Asked = Talk.request();
  int Status = 200;
  std::uint64_t End = 0;
  {
    const std::lock_guard Lock{Mutex};
    auto &At = Topics[Asked.parameter("topic")];
    const auto Condition = Asked.parameter("at");
    if (!Condition.empty() && numberOf(Condition) != At.Records.size()) {
      Status = 412;
    }
    for (std::size_t Place = 0; Status == 200 && Place < Asked.Body.size();) {
      const auto Size = boost::endian::load_big_u32(
          reinterpret_cast<const unsigned char *>(Asked.Body.data() + Place));
      const auto Content = Asked.Body.substr(Place + LengthBytes, Size);
      const auto KeyBytes = static_cast<unsigned char>(Content.at(0));
      Record One{Content.substr(1, KeyBytes), std::nullopt};
      if (Content.size() > std::size_t{KeyBytes} + 1) {
        One.Value = Content.substr(KeyBytes + 1U);
      }
      add(At, std::move(One));
      Place += LengthBytes + Size;
    }
    End = At.Records.size();
  }
  if (LoseAnswers) {
    loseConnection();
  }
  Talk.reply(answer({{"offset", End}, {"endOffset", End}}, Status));
}

void UsersStore::read(Exchange &Talk) {
  const auto &Asked = Talk.request();
  const auto From = numberOf(Asked.parameter("from"));
  const auto Until =
      DecisionClock::now() + Millis{numberOf(Asked.parameter("waitMs"))};
  const auto MostKb = Asked.parameter("maxKb");
  const std::size_t MostBytes =
      (MostKb.empty() ? DefaultReadKb : numberOf(MostKb)) * 1'024;
  while (true) {
    // The lock is never held while the answer is written.
    if (const auto Answer = page(Asked.parameter("topic"), From, MostBytes,
                                 DecisionClock::now() >= Until)) {
      Talk.reply(*Answer);
      return;
    }
    sleep(Talk, ReadPoll);
    if (Down) {
      loseConnection();
    }
  }
}

std::optional<Response> UsersStore::page(const std::string &Name,
                                         std::uint64_t From,
                                         std::size_t MostBytes, bool Empty) {
  const std::lock_guard Lock{Mutex};
  const auto &At = Topics[Name];
  if (From < At.First) {
    return answer({{"firstOffset", At.First}}, 410);
  }
  if (From >= At.Records.size() && !Empty) {
    return std::nullopt;
  }
  Response Answer;
  Answer.Body = bigEndian64(At.Records.size()) + bigEndian64(At.First);
  for (auto I = From; I < At.Records.size() && Answer.Body.size() < MostBytes;
       ++I) {
    const auto &One = At.Records[I];
    Answer.Body += framed(std::string(1, static_cast<char>(One.Key.size())) +
                          One.Key + One.Value.value_or(""));
  }
  return Answer;
}

void UsersStore::newest(Exchange &Talk) {
  json Items = json::array();
  std::uint64_t End = 0;
  {
    const std::lock_guard Lock{Mutex};
    const auto &At = Topics[Talk.request().parameter("topic")];
    End = At.Records.size();
    for (const auto &[Key, Offset] : At.Newest) {
      if (const auto &Value = At.Records[Offset].Value) {
        Items.push_back(
            {{"key", Key}, {"value", base64(*Value)}, {"offset", Offset}});
      }
    }
  }
  Talk.reply(
      answer({{"items", Items}, {"hasMore", false}, {"endOffset", End}}));
}

} // namespace standin
