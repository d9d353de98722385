#include "settings/xml.h"

#include <libxml/parser.h>
#include <libxml/xmlschemas.h>

#include <charconv>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>

#include "schema.inc"  // kSchema: schema/gorsenotch.xsd

namespace gorsenotch::settings {
namespace {

constexpr std::size_t kMaxFaults = 100;  // per file, so that a broken file does not fill the log
constexpr std::size_t kMaxFileMib = 16;
constexpr std::size_t kMaxFileBytes = kMaxFileMib * 1024 * 1024;

xmlNode* node(void* untyped) { return static_cast<xmlNode*>(untyped); }
const xmlChar* xml_text(const char* text) { return reinterpret_cast<const xmlChar*>(text); }

// Removes the line end and the schema's namespace, which is of no use to the reader.
std::string trim_message(std::string message) {
    while (!message.empty() && (message.back() == '\n' || message.back() == ' ')) message.pop_back();
    const std::string name_space = "{urn:gorsenotch:1}";
    for (auto at = message.find(name_space); at != std::string::npos; at = message.find(name_space))
        message.erase(at, name_space.size());
    return message;
}

// Error callback for libxml2; `fault_list` is the vector of faults.
void add_fault(void* fault_list, xmlErrorPtr error) {
    auto& faults = *static_cast<std::vector<FileFault>*>(fault_list);
    if (faults.size() >= kMaxFaults) return;
    std::string reason = trim_message(error->message ? error->message : "unknown XML error");
    std::string element;
    if (error->node) element = reinterpret_cast<const char*>(static_cast<xmlNode*>(error->node)->name);
    const std::string prefix = "Element '" + element + "'";
    if (!element.empty() && reason.rfind(prefix, 0) == 0)
        reason.erase(0, prefix.size() + 2);  // with ": " or ", "
    faults.push_back({error->line, element, reason});
}

// The schema, parsed once and kept for the lifetime of the process.
xmlSchemaPtr schema() {
    static xmlSchemaPtr parsed = [] {
        auto* parser = xmlSchemaNewMemParserCtxt(kSchema, static_cast<int>(std::strlen(kSchema)));
        auto* compiled = xmlSchemaParse(parser);
        xmlSchemaFreeParserCtxt(parser);
        return compiled;
    }();
    return parsed;
}

void validate(xmlDoc* document, std::vector<FileFault>& faults) {
    auto* context = xmlSchemaNewValidCtxt(schema());
    xmlSchemaSetValidStructuredErrors(context, add_fault, &faults);
    xmlSchemaSetValidOptions(context, XML_SCHEMA_VAL_VC_I_CREATE);  // fill in defaults
    xmlSchemaValidateDoc(context, document);
    xmlSchemaFreeValidCtxt(context);
}

}  // namespace

std::string render(const std::string& file, const std::vector<FileFault>& faults) {
    std::string out;
    for (const auto& fault : faults) {
        out += file;
        if (fault.line > 0) out += ":" + std::to_string(fault.line);
        out += ": " + (fault.element.empty() ? std::string() : fault.element + ": ") + fault.reason + "\n";
    }
    return out;
}

std::string Element::name() const { return reinterpret_cast<const char*>(node(node_)->name); }
int Element::line() const { return static_cast<int>(xmlGetLineNo(node(node_))); }
bool Element::has(const char* attribute) const {
    return node_ && xmlHasProp(node(node_), xml_text(attribute)) != nullptr;
}

std::string Element::text(const char* attribute) const {
    if (!node_) return {};
    xmlChar* value = xmlGetProp(node(node_), xml_text(attribute));
    if (!value) return {};
    std::string copy = reinterpret_cast<const char*>(value);
    xmlFree(value);
    return copy;
}

double Element::number(const char* attribute) const {
    const std::string value = text(attribute);
    const char* from = value.data();
    const char* const value_end = value.data() + value.size();
    while (from < value_end && (*from == ' ' || *from == '+' || *from == '\n' || *from == '\t')) ++from;
    double number = 0;
    std::from_chars(from, value_end, number);
    return number;
}

std::uint64_t Element::unsigned_integer(const char* attribute) const {
    return std::strtoull(text(attribute).c_str(), nullptr, 10);
}

bool Element::boolean(const char* attribute) const {
    const std::string value = text(attribute);
    return value == "true" || value == "1";
}

Element Element::child(const char* name) const {
    for (const auto& element : children(name)) return element;
    return Element();
}

std::vector<Element> Element::children(const char* name) const {
    std::vector<Element> all;
    if (!node_) return all;
    for (xmlNode* child = node(node_)->children; child; child = child->next) {
        if (child->type != XML_ELEMENT_NODE) continue;
        if (!name || std::strcmp(reinterpret_cast<const char*>(child->name), name) == 0)
            all.emplace_back(child);
    }
    return all;
}

Document::~Document() {
    if (doc_) xmlFreeDoc(static_cast<xmlDoc*>(doc_));
}
Document::Document(Document&& other) noexcept : doc_(std::exchange(other.doc_, nullptr)) {}
Document& Document::operator=(Document&& other) noexcept {
    std::swap(doc_, other.doc_);
    return *this;
}
Element Document::root() const { return Element(xmlDocGetRootElement(static_cast<xmlDoc*>(doc_))); }

std::unique_ptr<Document> Document::parse(std::string_view text, const char* root,
                                          std::vector<FileFault>& faults) {
    const std::size_t before = faults.size();
    auto* context = xmlNewParserCtxt();
    // Collects the errors of this parse only; libxml2 prints nothing.
    xmlSetStructuredErrorFunc(&faults, add_fault);
    xmlDoc* parsed = xmlCtxtReadMemory(context, text.data(), static_cast<int>(text.size()), nullptr, nullptr,
                                       XML_PARSE_NONET | XML_PARSE_BIG_LINES);
    xmlFreeParserCtxt(context);
    std::unique_ptr<Document> document(new Document);
    document->doc_ = parsed;
    if (!parsed && faults.size() == before) faults.push_back({0, "", "not an XML document"});
    if (parsed && parsed->intSubset) faults.push_back({0, "", "a document type declaration is not allowed"});
    if (faults.size() == before) {
        const Element found = document->root();
        if (!found || found.name() != root) {
            faults.push_back({found ? found.line() : 0, found ? found.name() : "",
                              std::string("expected root element '") + root + "'"});
        } else {
            validate(parsed, faults);
        }
    }
    xmlSetStructuredErrorFunc(nullptr, nullptr);
    if (faults.size() != before) return nullptr;
    return document;
}

std::unique_ptr<Document> Document::load(const std::string& file, const char* root,
                                         std::vector<FileFault>& faults) {
    std::string text;
    std::string error;
    if (!read_file(file, text, error)) {
        faults.push_back({0, "", error});
        return nullptr;
    }
    return parse(text, root, faults);
}

bool read_file(const std::string& file, std::string& out, std::string& error) {
    std::ifstream in(file, std::ios::binary);
    std::ostringstream content;
    if (!in || !(content << in.rdbuf())) {
        error = "the file can't be read or is empty";
        return false;
    }
    out = content.str();
    if (out.size() <= kMaxFileBytes) return true;
    error = "the file has " + std::to_string(out.size()) + " bytes, more than the limit of " +
            std::to_string(kMaxFileMib) + " MiB";
    return false;
}

}  // namespace gorsenotch::settings
