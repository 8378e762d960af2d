/// @file
/// Tests of following a stream that holds records which can't be read.

#include "goldcrestnotch/platform/follower.hpp"

#include <stdexcept>
#include <vector>

#include <gtest/gtest.h>

#include "goldcrestnotch/http/server.hpp"

namespace goldcrestnotch {
namespace {

/// @brief The bodies of all records in their order.
class Bodies {
public:
  void add(const LogRecord &Record) {
    if (Record.Body.empty()) {
      throw std::invalid_argument{"a record is empty"};
    }
    All.push_back(Record.Body);
    Next = Record.Offset + 1;
  }
  void skip(std::uint64_t Offset) noexcept { Next = Offset + 1; }
  [[nodiscard]] std::uint64_t next() const noexcept { return Next; }
  [[nodiscard]] std::string save() const { return "saved"; }
  [[nodiscard]] static Bodies load(const std::string & /*Saved*/) {
    throw std::invalid_argument{"no snapshot is expected"};
  }

  std::vector<std::string> All;

private:
  std::uint64_t Next = 0;
};

/// @brief A log service with three records, one of which can't be read.
void answer(http::Exchange &Current, std::size_t Unreadable) {
  http::Response Answer;
  const auto From = Current.request().parameter("from");
  if (From != "0") {
    Answer.Body = R"({"next":3,"records":[]})";
    Current.reply(Answer);
    return;
  }
  std::string Records;
  for (std::size_t I = 0; I < 3; ++I) {
    Records += I == Unreadable ? std::string{"{}"}
                               : R"({"offset":)" + std::to_string(I) +
                                     R"(,"time_ms":1,"body":"b"})";
    Records += I < 2 ? "," : "";
  }
  Answer.Body = R"({"next":3,"records":[)" + Records + "]}";
  Current.reply(Answer);
}

// The follower asked for the page of such a record for ever.
TEST(Follower, RecordThatCannotBeReadIsPassedOver) {
  for (std::size_t Unreadable = 0; Unreadable < 3; ++Unreadable) {
    boost::asio::io_context Context;
    http::Server Service{
        Context, {"127.0.0.1", 0}, {}, [&](http::Exchange &Current) {
          answer(Current, Unreadable);
        }};
    Service.start();
    std::vector<std::uint64_t> Malformed;
    Follower<Bodies> Followed{
        Context,
        LogClient{http::Endpoint{"127.0.0.1", Service.port()}},
        "config",
        [](Bodies &State, const LogRecord &Record) { State.add(Record); },
        {[&] { Context.stop(); },
         [&](const LogRecord &Record) { Malformed.push_back(Record.Offset); }}};
    Followed.start();
    Context.run_for(std::chrono::seconds{5});
    EXPECT_TRUE(Followed.ready());
    EXPECT_EQ(Followed.state().All.size(), 2U);
    EXPECT_EQ(Malformed, std::vector<std::uint64_t>{Unreadable});
  }
}

} // namespace
} // namespace goldcrestnotch
