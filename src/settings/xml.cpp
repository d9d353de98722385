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

constexpr std::size_t kMaxFaults = 100;  // of one file, so that a broken one does not fill the log
constexpr std::size_t kMaxFileMib = 16;
constexpr std::size_t kMaxFileBytes = kMaxFileMib * 1024 * 1024;

xmlNode* node(void* untyped) { return static_cast<xmlNode*>(untyped); }
const xmlChar* xml_text(const char* text) { return reinterpret_cast<const xmlChar*>(text); }

// Without the line's end, and without the schema's namespace, which says nothing to a reader.
std::string trimmed(std::string message) {
    while (!message.empty() && (message.back() == '\n' || message.back() == ' ')) message.pop_back();
    const std::string name_space = "{urn:gorsenotch:1}";
    for (auto at = message.find(name_space); at != std::string::npos; at = message.find(name_space))
        message.erase(at, name_space.size());
    return message;
}

// libxml2's callback; `into` is the vector of faults.
void add_fault(void* into, xmlErrorPtr error) {
    auto& faults = *static_cast<std::vector<FileFault>*>(into);
    if (faults.size() >= kMaxFaults) return;
    std::string reason = trimmed(error->message ? error->message : "unknown fault");
    std::string element;
    if (error->node) element = reinterpret_cast<const char*>(static_cast<xmlNode*>(error->node)->name);
    const std::string prefix = "Element '" + element + "'";
    if (!element.empty() && reason.rfind(prefix, 0) == 0)
        reason.erase(0, prefix.size() + 2);  // and ": " or ", "
    faults.push_back({error->line, element, reason});
}

// Parsed once, and kept for the life of the process.
xmlSchemaPtr schema() {
    static xmlSchemaPtr parsed = [] {
        auto* parser = xmlSchemaNewMemParserCtxt(kSchema, static_cast<int>(std::strlen(kSchema)));
        auto* made = xmlSchemaParse(parser);
        xmlSchemaFreeParserCtxt(parser);
        return made;
    }();
    return parsed;
}

void validate(xmlDoc* document, std::vector<FileFault>& faults) {
    auto* valid = xmlSchemaNewValidCtxt(schema());
    xmlSchemaSetValidStructuredErrors(valid, add_fault, &faults);
    xmlSchemaSetValidOptions(valid, XML_SCHEMA_VAL_VC_I_CREATE);  // fill in defaults
    xmlSchemaValidateDoc(valid, document);
    xmlSchemaFreeValidCtxt(valid);
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

std::uint64_t Element::large(const char* attribute) const {
    return std::strtoull(text(attribute).c_str(), nullptr, 10);
}

bool Element::yes(const char* attribute) const {
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
    // The errors of this parse alone are gathered; nothing is printed.
    xmlSetStructuredErrorFunc(&faults, add_fault);
    xmlDoc* parsed = xmlCtxtReadMemory(context, text.data(), static_cast<int>(text.size()), nullptr, nullptr,
                                       XML_PARSE_NONET | XML_PARSE_BIG_LINES);
    xmlFreeParserCtxt(context);
    std::unique_ptr<Document> document(new Document);
    document->doc_ = parsed;
    if (!parsed && faults.size() == before) faults.push_back({0, "", "not an XML document"});
    if (parsed && parsed->intSubset) faults.push_back({0, "", "a document type declaration is not allowed"});
    if (faults.size() == before) {
        const Element top = document->root();
        if (!top || top.name() != root) {
            faults.push_back({top ? top.line() : 0, top ? top.name() : "",
                              std::string("the outermost element should be '") + root + "'"});
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
    std::string why;
    if (!read_file(file, text, why)) {
        faults.push_back({0, "", why});
        return nullptr;
    }
    return parse(text, root, faults);
}

bool read_file(const std::string& file, std::string& out, std::string& why) {
    std::ifstream in(file, std::ios::binary);
    std::ostringstream all;
    if (!in || !(all << in.rdbuf())) {
        why = "the file can't be read or is empty";
        return false;
    }
    out = all.str();
    if (out.size() <= kMaxFileBytes) return true;
    why = "the file is larger than " + std::to_string(kMaxFileMib) + " MiB";
    return false;
}

}  // namespace gorsenotch::settings
