/// @file
/// Forward declarations of the store module.

#pragma once

namespace goldcrestnotch::store {

struct Record;
struct ReadResult;
class StoreError;
class StoreHealth;

} // namespace goldcrestnotch::store
