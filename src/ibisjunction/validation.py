"""Checks raw settings against a model and reports every mistake.

msgspec stops at the first mistake. Operators want all of them at once, so this
module walks the model field by field and lets msgspec judge each value.
"""

import types
import typing
from collections.abc import Iterator, Mapping

import msgspec


def find_mistakes(
    raw: typing.Any,
    model: typing.Any,
    path: str = '',
    *,
    allows_unknown: bool = False,
) -> Iterator[str]:
    """Yield one line for each mistake, starting with the key it concerns.

    :param raw: what was read from TOML or JSON.
    :param model: a ``msgspec.Struct`` class or any type msgspec can convert.
    :param path: key of ``raw`` within the whole, empty at the top.
    :param allows_unknown: whether keys that the model lacks are no mistakes.
    """
    struct = _find_struct(model)
    element = _find_element(model)
    if struct is not None and isinstance(raw, Mapping):
        yield from _check_fields(raw, struct, path, allows_unknown)
    elif element is not None and raw and isinstance(raw, list | Mapping):
        for key, inner in _list_elements(raw, path):
            yield from find_mistakes(
                inner,
                element,
                key,
                allows_unknown=allows_unknown,
            )
    else:
        yield from _check_value(raw, model, path)


def _list_elements(
    raw: list[typing.Any] | Mapping[str, typing.Any],
    path: str,
) -> Iterator[tuple[str, typing.Any]]:
    """Yield the elements of a list or mapping with their keys."""
    if isinstance(raw, Mapping):
        for name, inner in raw.items():
            yield _join(path, name), inner
    else:
        for index, inner in enumerate(raw):
            yield f'{path}[{index}]', inner


def _check_fields(
    raw: Mapping[str, typing.Any],
    struct: type[msgspec.Struct],
    path: str,
    allows_unknown: bool,
) -> Iterator[str]:
    types_by_name = typing.get_type_hints(struct, include_extras=True)
    hints = {}
    for field in msgspec.structs.fields(struct):
        hints[field.encode_name] = types_by_name[field.name]
        if field.required and field.encode_name not in raw:
            yield f'{_join(path, field.encode_name)}: missing'
    for name, inner in raw.items():
        hint = hints.get(name)
        if hint is not None:
            yield from find_mistakes(
                inner,
                hint,
                _join(path, name),
                allows_unknown=allows_unknown,
            )
        elif not allows_unknown:
            yield f'{_join(path, name)}: unknown key'


def _check_value(
    raw: typing.Any, model: typing.Any, path: str
) -> Iterator[str]:
    try:
        msgspec.convert(raw, model)
    except msgspec.ValidationError as error:
        yield f'{path}: {error}'


def _find_struct(model: typing.Any) -> type[msgspec.Struct] | None:
    """Return the struct that a type is, or may be beside ``None``."""
    for option in (model, *_list_options(model)):
        if isinstance(option, type) and issubclass(option, msgspec.Struct):
            return option
    return None


def _find_element(model: typing.Any) -> typing.Any:
    """Return the type of the values of a list or mapping of structs."""
    inner = _unwrap(model)
    if typing.get_origin(inner) not in {list, dict}:
        return None
    element = typing.get_args(inner)[-1]
    return None if _find_struct(element) is None else element


def _list_options(model: typing.Any) -> tuple[typing.Any, ...]:
    is_union = typing.get_origin(model) in {typing.Union, types.UnionType}
    return typing.get_args(model) if is_union else ()


def _unwrap(model: typing.Any) -> typing.Any:
    if typing.get_origin(model) is typing.Annotated:
        return typing.get_args(model)[0]
    return model


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name
