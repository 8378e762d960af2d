/// @file
/// Forward declarations of the ledger module.

#pragma once

namespace goldcrestnotch {

struct HolderId;
struct Batch;
class LedgerState;
class Outbox;
struct DemandSizing;
template <typename Sizing = DemandSizing> class GrantHolder;

} // namespace goldcrestnotch
