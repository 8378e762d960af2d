/// @file
/// Forward declarations of the http module.

#pragma once

namespace goldcrestnotch::http {

struct Request;
struct Response;
struct Endpoint;
struct Limits;
class Exchange;
class Server;
class Client;
class QueryBuilder;
class ReadBuffer;
template <typename Stream> class StreamTimeout;

} // namespace goldcrestnotch::http
