/// @file
/// Reading of chat answer events.

#include "goldcrestnotch/stream/relay.hpp"

#include <stdexcept>

#include <nlohmann/json.hpp>

namespace goldcrestnotch {

using nlohmann::json;

namespace internal {

static constexpr std::size_t EventBytes = 65'536;
static constexpr std::string_view EndMark = "[DONE]";

} // namespace internal

Relay::Relay(std::uint64_t Skip) : Parser{internal::EventBytes}, Skip{Skip} {}

std::vector<StreamEvent> Relay::feed(std::string_view Piece) {
  std::vector<StreamEvent> Result;
  for (auto &One : Parser.feed(Piece)) {
    if (One.Data == internal::EndMark) {
      Done = true;
      Result.push_back(std::move(One));
      break;
    }
    if (One.Number == 0) {
      One.Number = Last + 1;
    }
    if (One.Number <= Last) {
      continue;
    }
    if (One.Number != Last + 1) {
      throw std::runtime_error{"an event of the answer is missing"};
    }
    read(One);
    Last = One.Number;
    if (One.Number > Skip) {
      Result.push_back(std::move(One));
    }
  }
  return Result;
}

void Relay::read(const StreamEvent &One) {
  const auto Parsed = json::parse(One.Data, nullptr, false);
  if (!Parsed.is_object() || Parsed.contains("error")) {
    throw std::runtime_error{"the target's answer holds an error"};
  }
  const auto Usage = Parsed.find("usage");
  if (Usage != Parsed.end() && Usage->is_object()) {
    Used = {Tokens{Usage->value("prompt_tokens", std::int64_t{0})},
            Tokens{Usage->value("completion_tokens", std::int64_t{0})}};
  }
  const auto Choices = Parsed.find("choices");
  if (Choices == Parsed.end() || !Choices->is_array() || Choices->empty()) {
    return;
  }
  const auto &First = Choices->front();
  if (Keeps && First.contains("delta")) {
    Text += First.at("delta").value("content", std::string{});
  }
  if (First.contains("finish_reason") &&
      First.at("finish_reason").is_string()) {
    Finish = First.at("finish_reason").get<std::string>();
  }
}

} // namespace goldcrestnotch
