/// @file
/// One attempt at a target. The request is written and the response read at the
/// same time, since a target may respond before it has read the whole request.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/spawn.hpp>
#include <boost/beast/http.hpp>

#include "goldcrestnotch/backend/target.hpp"
#include "goldcrestnotch/proxy/caller_connection.hpp"
#include "goldcrestnotch/proxy/target_connection.hpp"

namespace goldcrestnotch::proxy {

/// Largest response body that is read only to be discarded, such as that of a
/// late response to an earlier request.
inline constexpr std::size_t MaxDiscardedBytes = 64U << 10U;

/// @brief One attempt at a target: the connection, the request that is being
/// sent and the response.
class Upstream {
public:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  /// @param MaxConnections Number of connections that the target accepts from
  /// all VMs together; zero if it is unknown.
  Upstream(std::shared_ptr<TargetConnection> Connection, WireRequest Request,
           std::shared_ptr<backend::Target> Target, std::int64_t MaxConnections,
           boost::asio::yield_context Yield);

  ~Upstream() {
    if (!Released) {
      Connection->Socket.close();
    }
    --Target->InProgress;
  }
  Upstream(const Upstream &) = delete;
  Upstream &operator=(const Upstream &) = delete;

  [[nodiscard]] std::shared_ptr<TargetConnection> connection() const noexcept {
    return Connection;
  }
  [[nodiscard]] backend::Target &target() noexcept { return *Target; }
  /// @brief Header fields of the response.
  [[nodiscard]] const WireFields &fields() const { return Response->get(); }
  [[nodiscard]] int status() const {
    return static_cast<int>(Response->get().result_int());
  }
  /// @brief Whether the target ended or lost the connection before the end of
  /// the response. A deadline, malformed bytes, or a connection that this VM
  /// has closed are no such end.
  [[nodiscard]] bool brokenOff() const noexcept { return BrokenOff; }
  /// @brief Whether the response ended because its target sent nothing until a
  /// deadline.
  [[nodiscard]] bool silent() const noexcept { return Silent; }
  /// @brief Whether the target sent bytes that are no valid response, or a
  /// chunk head or trailer section without end.
  [[nodiscard]] bool malformed() const noexcept { return Malformed; }
  /// @brief Whether the whole request has been sent.
  [[nodiscard]] bool written() const noexcept { return Pending->Written; }
  /// @brief Whether the head of the response has been read.
  [[nodiscard]] bool headReceived() const noexcept { return HeadReceived; }
  /// @brief Whether the whole response has been read.
  [[nodiscard]] bool complete() const {
    return Response->is_done() && !endUnproven();
  }

  /// @brief Starts to send the request; does not wait until it is sent.
  /// @param Deadline For sending the request and reading the response.
  void send(Instant Deadline);

  /// @brief Reads the head of the response to this request. Late responses to
  /// earlier requests on the connection are discarded.
  /// @param HeaderName Name of the header that echoes the attempt id.
  /// @return False if the connection fails first.
  [[nodiscard]] bool readHead(const std::string &HeaderName,
                              std::string_view AttemptId);

  /// @brief Reads more of the body.
  /// @return False if the connection fails before the end, or the deadline has
  /// passed.
  [[nodiscard]] bool readSome(std::string &Body);

  /// @brief Reads the rest of the body.
  /// @return False if the connection fails, the deadline has passed, or the
  /// body exceeds `MaxBytes`.
  [[nodiscard]] bool readAll(std::string &Body, std::size_t MaxBytes);

  /// @brief Returns the connection to the pool if it can carry another request,
  /// and closes it otherwise.
  void release(ConnectionPool &Pool);

private:
  /// @brief Whether the response ends with its connection, and that may be due
  /// to a failure.
  [[nodiscard]] bool endUnproven() const {
    return Response->need_eof() && (Connection->Relayed || Pending->Failed);
  }
  /// @brief Records why a read has failed.
  void recordFailure(const boost::system::error_code &Failure);

  /// @brief The request, which must exist until the write has ended.
  struct PendingRequest {
    WireRequest Message;
    bool Written = false; ///< All of it has been sent.
    /// The connection failed first. The kernel reports a reset only once, so a
    /// read after it sees an orderly end.
    bool Failed = false;
  };

  std::shared_ptr<TargetConnection> Connection;
  std::shared_ptr<backend::Target> Target;
  std::int64_t MaxConnections; ///< That the target accepts from all VMs.
  boost::asio::yield_context Yield;
  /// Shared with the write, which may end after this object is destroyed.
  std::shared_ptr<PendingRequest> Pending;
  std::optional<Parser> Response;
  std::string ReadBuffer;
  bool HeadReceived = false;
  bool BrokenOff = false;
  bool Malformed = false;
  bool Silent = false;
  bool Released = false;
};

} // namespace goldcrestnotch::proxy
