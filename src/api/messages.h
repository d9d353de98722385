// The Messages API in the versions of api/versions.h, as its public reference has it: requests in, events
// and whole messages out, errors in its form. Text only at this stage; other content is refused by name. No
// I/O.
#pragma once

#include <memory>
#include <variant>

#include "api/chat.h"
#include "api/versions.h"

namespace gorsenotch::api::messages {

// A body of POST /v1/messages (or of count_tokens, where max_tokens is not asked for).
std::variant<ChatRequest, ApiError> parse(std::string_view body, bool count_only = false,
                                          const Version& version = kNewest);

// {"type":"error","error":{...},"request_id":...}
std::string error_body(const ApiError& error, const std::string& request_id);

std::string count_body(const ChatRequest& request);
// GET /v1/models, with `first_id`, `last_id` and `has_more` as the API pages them; one page holds all.
std::string models_body(const std::vector<std::string>& models);
std::string model_body(const std::string& model);

// `id` as "msg_..."; input tokens are the estimate until the engine reports.
std::unique_ptr<ResponseWriter> streamed_response(std::string id, std::string model, long input_tokens,
                                                  std::string request_id);
// Gathers the text and gives the whole body at the end; text past `max_bytes` ends it as an error.
std::unique_ptr<ResponseWriter> complete_response(std::string id, std::string model, std::string request_id,
                                                  std::size_t max_bytes);

}  // namespace gorsenotch::api::messages
