/// @file
/// Reads the events of a streamed chat response.

#include "goldcrestnotch/stream/relay.hpp"

#include <stdexcept>

#include <nlohmann/json.hpp>

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

static constexpr std::size_t MaxEventBytes = 65'536;
/// Data of the event that ends a streamed chat response.
static constexpr std::string_view EndMarker = "[DONE]";

} // namespace internal

Relay::Relay(std::uint64_t SkippedEvents)
    : Parser{internal::MaxEventBytes}, SkippedEvents{SkippedEvents} {}

std::vector<StreamEvent> Relay::feed(std::string_view Piece) {
  if (!Problem.empty()) {
    throw std::runtime_error{Problem};
  }
  std::vector<StreamEvent> Result;
  for (auto &Event : Parser.feed(Piece)) {
    try {
      if (!accept(Event)) {
        continue;
      }
    } catch (const std::exception &Failure) {
      if (Result.empty()) {
        throw std::runtime_error{Failure.what()};
      }
      Problem = Failure.what();
      break;
    }
    Result.push_back(std::move(Event));
    if (Done) {
      break;
    }
  }
  return Result;
}

bool Relay::accept(StreamEvent &Event) {
  if (Event.Data == internal::EndMarker) {
    Done = true;
    return true;
  }
  if (Event.Id == 0) {
    Event.Id = LastEventId + 1;
  }
  if (Event.Id <= LastEventId) {
    return false;
  }
  if (Event.Id != LastEventId + 1) {
    throw std::runtime_error{"event missing from the target's response"};
  }
  readChunk(Event);
  LastEventId = Event.Id;
  return Event.Id > SkippedEvents;
}

void Relay::readChunk(const StreamEvent &Event) {
  const auto Chunk = json::parse(Event.Data, nullptr, false);
  if (!Chunk.is_object() || Chunk.contains("error")) {
    throw std::runtime_error{"event in the target's response reports an error "
                             "or is not a JSON object"};
  }
  const auto UsageField = Chunk.find("usage");
  if (UsageField != Chunk.end() && UsageField->is_object()) {
    LatestUsage = {
        Tokens{UsageField->value("prompt_tokens", std::int64_t{0})},
        Tokens{UsageField->value("completion_tokens", std::int64_t{0})}};
  }
  const auto Choices = Chunk.find("choices");
  if (Choices == Chunk.end() || !Choices->is_array() || Choices->empty()) {
    return;
  }
  const auto &Choice = Choices->front();
  if (CollectsText && Choice.contains("delta")) {
    Text += Choice.at("delta").value("content", std::string{});
  }
  if (Choice.contains("finish_reason") &&
      Choice.at("finish_reason").is_string()) {
    FinishReason = Choice.at("finish_reason").get<std::string>();
  }
}

} // namespace goldcrestnotch
