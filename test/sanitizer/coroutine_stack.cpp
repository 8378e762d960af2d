/// @file
/// Tells the address sanitizer where coroutine stacks are.
///
/// When an exception is thrown, its runtime clears the marks of the frames that
/// unwinding leaves. It knows the stacks of threads only; on a coroutine's,
/// which stands on the heap, the marks stay and the next call that checks its
/// memory there is reported. This takes the runtime's place for such stacks.

#include <dlfcn.h>

#include <cstddef>

#include <sanitizer/asan_interface.h>

namespace {

using HandleNoReturn = void (*)();

/// Bytes for the name of a variable, which is not asked for.
constexpr std::size_t NoName = 1;

/// The runtime's own, for the stacks of threads.
HandleNoReturn runtimeOwn() {
  static const auto Found = reinterpret_cast<HandleNoReturn>(
      dlsym(RTLD_NEXT, "__asan_handle_no_return"));
  return Found;
}

} // namespace

// The name is the runtime's: instrumented code calls it before it throws.
// NOLINTNEXTLINE(bugprone-reserved-identifier,readability-identifier-naming)
extern "C" void __asan_handle_no_return() {
  char Here = 0;
  char Name[NoName];
  void *Begin = nullptr;
  std::size_t Bytes = 0;
  const char *Kind = __asan_locate_address(&Here, Name, NoName, &Begin, &Bytes);
  const bool OnHeap = Kind != nullptr && Kind[0] == 'h';
  if (OnHeap) {
    __asan_unpoison_memory_region(Begin, Bytes);
  } else if (const auto Own = runtimeOwn()) {
    Own();
  }
}
