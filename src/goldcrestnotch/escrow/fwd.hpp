/// @file
/// Forward declarations of the escrow module.

#pragma once

namespace goldcrestnotch::escrow {

struct Account;
struct HolderRecord;
class HolderTable;
class TokenHolder;

} // namespace goldcrestnotch::escrow
