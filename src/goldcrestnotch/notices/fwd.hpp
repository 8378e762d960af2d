/// @file
/// Forward declarations of the notices module.

#pragma once

namespace goldcrestnotch::notices {

struct ViewRequest;
struct ViewResponse;
class NoticeSocket;
class ViewExchange;
class ViewGate;

} // namespace goldcrestnotch::notices
