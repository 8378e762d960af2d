/// @file
/// A request whose transfer coding ends with another one than `chunked` has a
/// request in its body.

#include "../harness-2/bed.hpp"

namespace review {
namespace {

constexpr int Tries = 10;

std::string headOf(const std::string &Path, const std::string &AttemptId) {
  return "POST " + Path + " HTTP/1.1\r\nHost: " + Bed::Host +
         "\r\nX-Goldcrestnotch-Attempt-Id: " + AttemptId +
         "\r\nX-Goldcrestnotch-Deadline-Ms: 2000\r\n"
         "Authorization: Bearer key-1\r\n";
}

/// @brief Sends bytes and returns what came within a second.
std::string exchange(const std::string &Bytes) {
  boost::asio::ip::tcp::iostream Connection{Bed::address(0),
                                            std::to_string(Bed::CallerPort)};
  Connection.expires_after(std::chrono::seconds{1});
  Connection << Bytes << std::flush;
  return {std::istreambuf_iterator<char>{Connection},
          std::istreambuf_iterator<char>{}};
}

int run() {
  Record Log{"review/10/record.txt"};
  Bed Fleet{Log, 1, 1, 1'000'000};
  Fleet.start(0);
  Fleet.awaitReady(0);
  int Smuggled = 0;
  for (int I = 0; I < Tries; ++I) {
    const auto Inner = "inner-" + std::to_string(I);
    const auto Body = headOf("/order/inner", Inner) + "\r\n";
    const auto Framing =
        withTrouble()
            ? std::string{"Transfer-Encoding: chunked, gzip\r\n"}
            : "Content-Length: " + std::to_string(Body.size()) + "\r\n";
    auto Bytes = headOf("/order/outer", "outer-" + std::to_string(I));
    Bytes += Framing;
    Bytes += "\r\n";
    Bytes += Body;
    const auto Answer = exchange(Bytes);
    const int Runs = Fleet.replica(0).runsOf(Inner);
    Smuggled += Runs > 0 ? 1 : 0;
    Log.line("outer-" + std::to_string(I) + " sent with " +
             Framing.substr(0, Framing.find('\r')) + "; answer begins '" +
             Answer.substr(0, Answer.find('\r')) + "'; the replica ran " +
             Inner + " " + std::to_string(Runs) + " times");
  }
  const bool Broken = Smuggled > 0;
  Log.line(std::to_string(Smuggled) + " of " + std::to_string(Tries) +
           " requests inside of other requests were run" +
           (Broken ? ": UNASKED is broken" : ": UNASKED held"));
  return Broken ? ExitBroken : ExitHeld;
}

} // namespace
} // namespace review

int main() { return review::runCase(review::run); }
