/// @file
/// Forward declarations of the entry module.

#pragma once

namespace goldcrestnotch {

struct ChatRequest;
class Entry;
class ChatHandler;
class CallHandler;
class OperatorHandler;

} // namespace goldcrestnotch
